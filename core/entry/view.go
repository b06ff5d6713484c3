package entry

import (
	"fmt"
	"math"
	"slices"
	"time"

	"hornbeamtray/core/eject"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/routing"
	"hornbeamtray/core/ticket"
)

// loadHalfLife is when half of what a report says of others' requests is
// taken to be over.
const loadHalfLife = 250 * time.Millisecond

// noTargetRetryDelay is when to try again after no target could take a request.
const noTargetRetryDelay = 200 * time.Millisecond

// Report is what a target's agent says of itself.
type Report struct {
	Incarnation string
	Running     int
	Limit       int
	Taking      bool   // Taking is false while the target takes no new work.
	Version     uint64 // Version is that of the configuration in force at the agent.
	Entries     int    // Entries counts the entry instances of its failure domain that watch the agent.
}

// View is what the instance believes of one target.
type View struct {
	Target              string
	Report              Report
	Received            time.Time // Received is when the latest report came; zero before the first.
	OwnInFlight         int       // Own counts own requests at the target now.
	OwnInFlightAtReport int       // OwnThen is what Own was when the report came.
	Lost                bool      // Lost is true after the agent's connection failed, until it reports again.
	Attempts            eject.Record
}

// Alive reports whether the target's agent was heard within silence before now.
func (v View) Alive(now time.Time, silence time.Duration) bool {
	return !v.Received.IsZero() && !v.Lost && now.Sub(v.Received) <= silence
}

// Load estimates the requests at the target: own ones, which are known, and
// those of other instances, which the report tells of. What it tells is worth
// less with each half-life, so that late news of a full target doesn't keep work
// away for long; the agent has the last word.
func (v View) Load(now time.Time) int {
	others := float64(max(0, v.Report.Running-v.OwnInFlightAtReport))
	age := max(0, now.Sub(v.Received))
	return v.OwnInFlight + int(math.Ceil(others*math.Exp2(-float64(age)/float64(loadHalfLife))))
}

// Conditions of a target as operators see them.
const (
	Serving = "serving"
	Out     = "out"     // operators keep the target or its failure domain from new work
	Leaving = "leaving" // the target's agent takes no new work
	Lost    = "lost"    // the connection to the agent failed
	Silent  = "silent"  // the agent has not reported for too long
	Ejected = "ejected" // too many attempts in a row failed
)

// Condition returns the condition of a configured target at time now.
func (s State) Condition(target string, now time.Time) string {
	view := s.View(target)
	switch {
	case !s.Configuration.Bears(target):
		return Out
	case view.Lost:
		return Lost
	case !view.Alive(now, s.reportTimeout):
		return Silent
	case !view.Report.Taking || s.leaving[target]:
		return Leaving
	case view.Attempts.Ejected(now):
		return Ejected
	default:
		return Serving
	}
}

// Views returns what the instance believes of each target, sorted by name.
func (s State) Views() []View {
	list := make([]View, 0, s.views.Len())
	for i := s.views.Iterator(); !i.Done(); {
		_, view, _ := i.Next()
		list = append(list, view)
	}
	return list
}

// WithReport returns the state after a report of a target's agent.
func (s State) WithReport(target string, report Report, now time.Time) State {
	if _, found := s.Configuration.Target(target); !found {
		return s
	}
	before := s.View(target)
	if before.Report.Incarnation != report.Incarnation {
		s.Trail = s.Trail.With(now, "target "+target, "reported by its agent", before.Report.Incarnation, report.Incarnation)
	} else if before.Report.Taking != report.Taking {
		s.Trail = s.Trail.With(now, "target "+target, "reported by its agent", describeTaking(before.Report), describeTaking(report))
	}
	after := View{Target: target, Report: report, Received: now, OwnInFlight: before.OwnInFlight, OwnInFlightAtReport: before.OwnInFlight}
	if before.Report.Incarnation == report.Incarnation && !before.Lost {
		after.Attempts = before.Attempts
	}
	s.views = s.views.Set(target, after)
	if before.Report.Entries != report.Entries || before.Lost {
		return s.withInstanceCount()
	}
	return s
}

// WithLost returns the state after the connection to a target's agent failed.
func (s State) WithLost(target, cause string, now time.Time) State {
	view, found := s.views.Get(target)
	if !found || view.Lost {
		return s
	}
	view.Lost = true
	s.views = s.views.Set(target, view)
	s.Trail = s.Trail.With(now, "target "+target, cause, "reached", "lost")
	return s.withInstanceCount()
}

// WithLeavingTargets returns the state after the platform listed the targets that
// are leaving. The list lags; it can only take work away from a target.
func (s State) WithLeavingTargets(leaving []string, now time.Time) State {
	before := s.leaving
	s.leaving = map[string]bool{}
	for _, target := range leaving {
		s.leaving[target] = true
		if !before[target] {
			s.Trail = s.Trail.With(now, "target "+target, "listed by the platform", "live", "leaving")
		}
	}
	return s
}

// WithAttempt returns the state after an attempt at a target ended, failed or
// not. After several failures in a row the target is ejected for a while, unless
// that would leave too few targets of its service.
func (s State) WithAttempt(target string, failed bool, now time.Time) State {
	view, found := s.views.Get(target)
	if !found {
		return s
	}
	view.OwnInFlight = max(0, view.OwnInFlight-1)
	var ejected bool
	view.Attempts, ejected = view.Attempts.WithAttempt(failed, func() (int, int) { return s.countEjected(target, now) }, now)
	if ejected {
		s.Trail = s.Trail.With(now, "target "+target, "attempts in a row failed", "serving", "ejected")
	}
	s.views = s.views.Set(target, view)
	return s
}

// countEjected returns how many other targets of a target's service are countEjected, of
// how many.
func (s State) countEjected(target string, now time.Time) (ejected, targets int) {
	t, _ := s.Configuration.Target(target)
	names := s.watched[t.Service]
	for _, name := range names {
		if name != target && s.View(name).Attempts.Ejected(now) {
			ejected++
		}
	}
	return ejected, len(names)
}

// Choose mints a ticket of that ID for an admitted request, on a target not yet
// tried. Targets in the instance's own failure domain go first; work spills to
// others where none of those can take it.
func (s State) Choose(a Admission, id string, tried []string, random routing.Random, now time.Time) (State, ticket.Ticket, *refusal.Refusal) {
	var local, remote []routing.Candidate
	for _, name := range s.watched[a.Service.Name] {
		view := s.View(name)
		if slices.Contains(tried, name) || s.Condition(name, now) != Serving {
			continue
		}
		candidate := routing.Candidate{Target: name, Load: view.Load(now), Limit: view.Report.Limit}
		if t, _ := s.Configuration.Target(name); t.Domain == s.Domain {
			local = append(local, candidate)
		} else {
			remote = append(remote, candidate)
		}
	}
	chosen, found := routing.Choose(local, random)
	if !found {
		chosen, found = routing.Choose(remote, random)
	}
	if !found {
		return s, ticket.Ticket{}, pointerTo(refusal.New(refusal.Busy, refusal.No, "no target of the service can take the request now; try again").WithRetry(noTargetRetryDelay))
	}
	view := s.View(chosen.Target)
	view.OwnInFlight++
	s.views = s.views.Set(chosen.Target, view)
	t := ticket.New(id, a.Account, a.Service.Name, a.Call, now.Add(s.ticketLifetime)).WithTarget(chosen.Target, view.Report.Incarnation)
	return s, t, nil
}

// AgentAddress returns the address of the agent that a caller's ticket names. It
// refuses a ticket that was minted for another request.
func (s State) AgentAddress(a Admission, t ticket.Ticket) (string, *refusal.Refusal) {
	if t.Account != a.Account || t.Service != a.Service.Name || t.Call != a.Call {
		return "", pointerTo(refusal.New(refusal.Conflict, refusal.No, "the ticket was minted for another account, service or call; fetch a new ticket"))
	}
	target, found := s.Configuration.Target(t.Target)
	if !found {
		return "", pointerTo(refusal.New(refusal.Gone, refusal.Unknown, "the target that held this ticket is no longer configured; check the outcome before asking anew"))
	}
	return target.Address, nil
}

// View returns what the instance believes of one target.
func (s State) View(target string) View {
	view, found := s.views.Get(target)
	if !found {
		view.Target = target
	}
	return view
}

// withoutRemovedViews drops the views of targets that left the configuration.
func (s State) withoutRemovedViews() State {
	for _, view := range s.Views() {
		if _, found := s.Configuration.Target(view.Target); !found {
			s.views = s.views.Delete(view.Target)
		}
	}
	return s
}

func describeTaking(r Report) string {
	if r.Taking {
		return fmt.Sprintf("taking work, limit %d", r.Limit)
	}
	return "taking no new work"
}
