package peers

import (
	"time"

	"hornbeamtray/core/dispatch"
)

// departure is a dispatch.Departure as it is sent to peers.
type departure struct {
	Target  string        `json:"target"`
	Started int64         `json:"started,omitempty"` // start time of the process in Unix milliseconds
	Age     time.Duration `json:"age"`
}

func encodeDepartures(departures []dispatch.Departure, now time.Time) []departure {
	list := make([]departure, len(departures))
	for i, d := range departures {
		list[i] = departure{Target: d.Target, Started: d.StartUnixMilli, Age: now.Sub(d.At)}
	}
	return list
}

func decodeDepartures(departures []departure, now time.Time) []dispatch.Departure {
	list := make([]dispatch.Departure, len(departures))
	for i, d := range departures {
		list[i] = dispatch.Departure{Target: d.Target, StartUnixMilli: d.Started, At: now.Add(-max(0, d.Age))}
	}
	return list
}
