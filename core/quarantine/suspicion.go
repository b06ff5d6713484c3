package quarantine

import (
	"math"
	"slices"
	"time"
)

const (
	sharedPeriod = 6 * time.Second  // of quarantine while another part may be to blame; a group that lost a rank works again by then
	firstPeriod  = 30 * time.Second // of quarantine otherwise; a trial that fails costs all callers of a group several seconds
	maxPeriod    = time.Hour
	periodFactor = 4 // between the quarantine after a crash and that after the next

	// sameEvent is the time within which two crashes count as one and two reports mean
	// the same crash or trial: gateways report ages, which grow on the way.
	sameEvent = time.Second
)

// Progress is how much of an answer had arrived when its target crashed.
type Progress int

// The values of Progress. Targets crash when they begin to write an answer, so an answer
// that had begun is stronger evidence than one for which the request still waited.
const (
	Waiting  Progress = iota // Waiting: nothing of the answer.
	Begun                    // Begun: the head, but nothing of the body.
	Started                  // Started: a first event.
	UnderWay                 // UnderWay: more; the crash has another cause.
)

// Suspicion is what is known of a part of a prompt.
type Suspicion struct {
	Part      string
	Others    []string  // Others are the other suspected parts of the requests that hold the part; never written after construction.
	Crashes   int       // Crashes counts the crashes with a request that holds the part.
	Begun     bool      // Begun is set if the answer to such a request had begun.
	Proven    bool      // Proven is set once an answer to a request with the part got under way.
	CrashedAt time.Time // CrashedAt is the time of the latest crash.
	TriedAt   time.Time // TriedAt is the time of the latest trial; zero for none.
}

// quarantined reports whether the evidence suffices to keep requests with the part from
// targets: one crash as an answer began, or two crashes.
func (s Suspicion) quarantined() bool { return !s.Proven && (s.Begun || s.Crashes > 1) }

// period returns how long the quarantine lasts after the latest crash. shared reports
// whether the blame is shared with another part.
func (s Suspicion) period(shared bool) time.Duration {
	if shared && s.Crashes == 1 {
		return sharedPeriod
	}
	factor := math.Pow(periodFactor, float64(max(0, s.Crashes-1)))
	return time.Duration(min(float64(maxPeriod), factor*float64(firstPeriod)))
}

// obsolete reports whether the suspicion is too old to count.
func (s Suspicion) obsolete(now time.Time) bool { return now.Sub(s.CrashedAt) > 2*s.period(false) }

// withCrash returns the suspicion after a crash with a request that holds others, too.
func (s Suspicion) withCrash(others []string, begun bool, now time.Time) Suspicion {
	if s.Crashes == 0 {
		s.Others = others
	}
	s.Others = common(s.Others, others)
	if s.Crashes == 0 || now.Sub(s.CrashedAt) > sameEvent {
		s.Crashes++
	}
	s.CrashedAt, s.Begun = now, s.Begun || begun
	return s
}

// merged returns what is known of the part after a peer's report about it, and whether
// the report held anything new.
func (s Suspicion) merged(report Suspicion) (Suspicion, bool) {
	changed := false
	if s.Crashes == 0 {
		s.Others = report.Others
	} else if others := common(s.Others, report.Others); len(others) < len(s.Others) {
		s.Others, changed = others, true
	}
	if report.Crashes > s.Crashes {
		s.Crashes, changed = report.Crashes, true
	}
	if report.Begun && !s.Begun || report.Proven && !s.Proven {
		s.Begun, s.Proven, changed = s.Begun || report.Begun, s.Proven || report.Proven, true
	}
	if report.CrashedAt.Sub(s.CrashedAt) > sameEvent {
		s.CrashedAt, changed = report.CrashedAt, true
	}
	if report.TriedAt.Sub(s.TriedAt) > sameEvent {
		s.TriedAt, changed = report.TriedAt, true
	}
	return s, changed
}

// common returns the parts that are in both lists.
func common(a, b []string) []string {
	var list []string
	for _, part := range a {
		if slices.Contains(b, part) {
			list = append(list, part)
		}
	}
	return list
}
