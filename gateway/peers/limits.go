package peers

import (
	"time"

	"hornbeamtray/core/dispatch"
)

// limit is a dispatch.NamedLimit as it is sent to peers.
type limit struct {
	Target  string        `json:"target"`
	Started int64         `json:"started,omitempty"` // start time of the process in Unix milliseconds
	Rate    float64       `json:"rate,omitempty"`    // requests a second
	Named   bool          `json:"named,omitempty"`
	Age     time.Duration `json:"age"`
}

// maxRate bounds a rate that is sent to peers: JSON has no infinity. A higher one limits nothing.
const maxRate = 1e9 // requests a second

func encodeLimit(l dispatch.NamedLimit, now time.Time) limit {
	return limit{Target: l.Target, Started: l.StartUnixMilli, Rate: min(l.Limit.Rate, maxRate), Named: l.Limit.Named, Age: now.Sub(l.Limit.At)}
}

func (l limit) decode(now time.Time) dispatch.NamedLimit {
	return dispatch.NamedLimit{
		Target: l.Target, StartUnixMilli: l.Started,
		Limit: dispatch.Limit{Rate: max(0, l.Rate), Named: l.Named, At: now.Add(-max(0, l.Age))},
	}
}

func encodeLimits(limits []dispatch.NamedLimit, now time.Time) []limit {
	list := make([]limit, len(limits))
	for i, l := range limits {
		list[i] = encodeLimit(l, now)
	}
	return list
}

func decodeLimits(limits []limit, now time.Time) []dispatch.NamedLimit {
	list := make([]dispatch.NamedLimit, len(limits))
	for i, l := range limits {
		list[i] = l.decode(now)
	}
	return list
}
