package peers

import (
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
)

// rankReport is a dispatch.RankReport as it is sent to peers. Ages take the place of
// times, since the clocks of instances differ.
type rankReport struct {
	Target string        `json:"target"`
	Rank   roster.Rank   `json:"rank"`
	Age    time.Duration `json:"age"`
}

// condition is a dispatch.Condition as it is sent to peers.
type condition struct {
	Service string        `json:"service"`
	Name    string        `json:"name,omitempty"`
	Lost    bool          `json:"lost,omitempty"`
	Epoch   uint64        `json:"epoch,omitempty"`
	Age     time.Duration `json:"age"`
}

func encodeRanks(reports []dispatch.RankReport, now time.Time) []rankReport {
	list := make([]rankReport, len(reports))
	for i, r := range reports {
		list[i] = rankReport{Target: r.Target, Rank: r.Rank, Age: now.Sub(r.ReadAt)}
	}
	return list
}

func decodeRanks(reports []rankReport, now time.Time) []dispatch.RankReport {
	list := make([]dispatch.RankReport, len(reports))
	for i, r := range reports {
		list[i] = dispatch.RankReport{Target: r.Target, Rank: r.Rank, ReadAt: now.Add(-r.Age)}
	}
	return list
}

func encodeConditions(conditions []dispatch.Condition, now time.Time) []condition {
	list := make([]condition, len(conditions))
	for i, c := range conditions {
		list[i] = condition{Service: c.Group.Service, Name: c.Group.Name, Lost: c.Lost, Epoch: c.Epoch, Age: now.Sub(c.At)}
	}
	return list
}

func decodeConditions(conditions []condition, now time.Time) []dispatch.Condition {
	list := make([]dispatch.Condition, len(conditions))
	for i, c := range conditions {
		list[i] = dispatch.Condition{Group: dispatch.GroupID{Service: c.Service, Name: c.Name}, Lost: c.Lost, Epoch: c.Epoch, At: now.Add(-c.Age)}
	}
	return list
}
