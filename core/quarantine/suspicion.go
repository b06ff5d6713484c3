package quarantine

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	sharedPeriod = 6 * time.Second  // of quarantine while another part may be to blame; a group that lost a rank works again by then
	firstPeriod  = 30 * time.Second // of quarantine otherwise; a trial that fails costs all callers of a group several seconds
	maxPeriod    = time.Hour
	periodFactor = 4 // between the quarantine after a crash and that after the next

	// sameEvent is the time within which two crashes count as one, at which several
	// requests were, and two reports mean the same trial: gateways report ages, which
	// grow on the way.
	sameEvent  = time.Second
	maxCrashes = 8 // the latest ones that are kept for a part
)

// ownMark is the first character of the key of what a request holds alone.
const ownMark = "="

// Own returns the key of the part of a prompt, or of other content, that belongs to one
// request or session. Its repeats have the same key. It must be the ID of no shared part.
func Own(id string) string { return ownMark + id }

func isOwn(part string) bool { return strings.HasPrefix(part, ownMark) }

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

// String returns the name of the progress in logs.
func (p Progress) String() string {
	return [...]string{"waiting", "begun", "started", "under way"}[p]
}

// Crash is a crash of a target while it had a request with a suspected part.
type Crash struct {
	ID      string // ID is unique to the crash and the gateway that observed it.
	At      time.Time
	Begun   bool     // Begun is set if the answer to the request had begun.
	Cleared bool     // Cleared is set once an answer to a later request with the part got under way.
	Others  []string // Others are other parts of the request; never written after construction.
}

// Suspicion is what is known of a part of a prompt. What two gateways know is merged by
// crash, so that neither the order of reports nor their number matters, and a proof clears
// only the crashes that were known when it was made, never later ones.
type Suspicion struct {
	Part         string
	Crashes      []Crash   // Crashes are sorted by ID; never written after construction.
	ProvenBefore bool      // ProvenBefore is set if answers to requests with the part got under way, before or after the crashes.
	TriedAt      time.Time // TriedAt is the time of the latest trial; zero for none.
}

// live returns the crashes that no proof cleared.
func (s Suspicion) live() []Crash {
	return slices.DeleteFunc(slices.Clone(s.Crashes), func(c Crash) bool { return c.Cleared })
}

// count returns the number of live crashes. Those within sameEvent count as one.
func (s Suspicion) count() int {
	var times []time.Time
	for _, c := range s.live() {
		times = append(times, c.At)
	}
	slices.SortFunc(times, time.Time.Compare)
	n, last := 0, time.Time{}
	for _, at := range times {
		if n == 0 || at.Sub(last) > sameEvent {
			n, last = n+1, at
		}
	}
	return n
}

// clearedAt returns the time of the latest crash that a proof cleared, which was made later;
// zero for none.
func (s Suspicion) clearedAt() time.Time {
	last := time.Time{}
	for _, c := range s.Crashes {
		if c.Cleared && c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// crashedAt returns the time of the latest live crash, or of the latest one if none is live.
func (s Suspicion) crashedAt() time.Time {
	crashes := s.live()
	if len(crashes) == 0 {
		crashes = s.Crashes
	}
	last := time.Time{}
	for _, c := range crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// quarantined reports whether the evidence suffices to keep requests with the part from
// targets: two crashes with no proof since, or one as an answer began if the part was
// never proven. A popular part is proven again before the next crash, whatever causes the
// crashes; one that crashes targets is not.
func (s Suspicion) quarantined() bool {
	switch s.count() {
	case 0:
		return false
	case 1:
		return !s.ProvenBefore && slices.ContainsFunc(s.live(), func(c Crash) bool { return c.Begun })
	}
	return true
}

// others returns the parts that were at all live crashes, too.
func (s Suspicion) others() []string {
	var list []string
	for i, c := range s.live() {
		if i == 0 {
			list = c.Others
			continue
		}
		list = common(list, c.Others)
	}
	return list
}

// period returns how long the quarantine lasts after the latest crash. shared reports
// whether a request would tell if another part is to blame.
func (s Suspicion) period(shared bool) time.Duration {
	if shared {
		return sharedPeriod
	}
	factor := math.Pow(periodFactor, float64(max(0, s.count()-1)))
	return time.Duration(min(float64(maxPeriod), factor*float64(firstPeriod)))
}

// obsolete reports whether the suspicion is too old to count.
func (s Suspicion) obsolete(now time.Time) bool { return now.Sub(s.crashedAt()) > 2*s.period(false) }

// withCrash returns the suspicion after one more crash. Beyond maxCrashes, it drops the
// earliest one.
func (s Suspicion) withCrash(c Crash) Suspicion {
	s.Crashes = append(slices.Clone(s.Crashes), c)
	slices.SortFunc(s.Crashes, func(a, b Crash) int { return cmp.Compare(a.ID, b.ID) })
	if len(s.Crashes) > maxCrashes {
		earliest := slices.MinFunc(s.Crashes, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) })
		s.Crashes = slices.DeleteFunc(s.Crashes, func(c Crash) bool { return c.ID == earliest.ID })
	}
	return s
}

// withProof returns the suspicion after an answer to a request with the part got under way
// at a time; zero for never.
func (s Suspicion) withProof(at time.Time) Suspicion {
	s.ProvenBefore = s.ProvenBefore || !at.IsZero()
	s.Crashes = slices.Clone(s.Crashes)
	for i := range s.Crashes {
		s.Crashes[i].Cleared = s.Crashes[i].Cleared || !s.Crashes[i].At.After(at)
	}
	return s
}

// merged returns what is known of the part after a peer's report about it, and whether
// the report held anything new.
func (s Suspicion) merged(report Suspicion) (Suspicion, bool) {
	changed := false
	for _, c := range report.Crashes {
		i, found := slices.BinarySearchFunc(s.Crashes, c.ID, func(known Crash, id string) int { return cmp.Compare(known.ID, id) })
		switch {
		case !found:
			before := len(s.Crashes)
			s = s.withCrash(c)
			changed = changed || len(s.Crashes) > before || slices.ContainsFunc(s.Crashes, func(kept Crash) bool { return kept.ID == c.ID })
		case c.Cleared && !s.Crashes[i].Cleared || c.At.Before(s.Crashes[i].At):
			changed = changed || c.Cleared && !s.Crashes[i].Cleared
			s.Crashes = slices.Clone(s.Crashes)
			s.Crashes[i].Cleared = s.Crashes[i].Cleared || c.Cleared
			if c.At.Before(s.Crashes[i].At) {
				s.Crashes[i].At = c.At
			}
		}
	}
	if report.ProvenBefore && !s.ProvenBefore {
		s.ProvenBefore, changed = true, true
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
