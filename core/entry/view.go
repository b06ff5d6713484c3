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

// loadHalfLife is the time after a report at which Load assumes that half of the
// reported requests of other instances have ended.
const loadHalfLife = 250 * time.Millisecond

// noTargetRetryDelay is the retry delay in the refusal of a request that no target
// can take.
const noTargetRetryDelay = 200 * time.Millisecond

// Report is the state that a target's agent reports.
type Report struct {
	Incarnation string
	Running     int
	Limit       int
	Taking      bool   // Taking is whether the target takes new work.
	Version     uint64 // Version is the version of the configuration in force at the agent.
	Entries     int    // Entries counts the entry instances of the target's failure domain that watch the agent.
}

// View is what the instance knows about one target.
type View struct {
	Target              string
	Report              Report
	Received            time.Time // Received is the time of the latest report; zero before the first.
	OwnInFlight         int       // OwnInFlight counts the instance's own requests at the target.
	OwnInFlightAtReport int       // OwnInFlightAtReport is OwnInFlight at the time of the latest report.
	Lost                bool      // Lost is whether the connection to the agent failed after the latest report.
	Attempts            eject.Record
}

// Alive reports whether the latest report came at most timeout before now, and the
// connection to the agent has not failed since.
func (v View) Alive(now time.Time, timeout time.Duration) bool {
	return !v.Received.IsZero() && !v.Lost && now.Sub(v.Received) <= timeout
}

// Load estimates the number of requests at the target: the instance's own, which
// it counts exactly, and those of other instances according to the latest report.
// The reported number decays with loadHalfLife, so that a stale report of a full
// target doesn't divert requests for long; the agent still refuses what the target
// can't take.
func (v View) Load(now time.Time) int {
	others := float64(max(0, v.Report.Running-v.OwnInFlightAtReport))
	age := max(0, now.Sub(v.Received))
	return v.OwnInFlight + int(math.Ceil(others*math.Exp2(-float64(age)/float64(loadHalfLife))))
}

// Conditions of a target, as shown to operators.
const (
	Serving = "serving"
	Out     = "out"     // operators took the target or its failure domain out of service
	Leaving = "leaving" // the agent reports that it takes no new work, or the platform lists the target as leaving
	Lost    = "lost"    // the connection to the agent failed
	Silent  = "silent"  // the latest report is older than the report timeout
	Ejected = "ejected" // the target gets no new work for some time after consecutive failed attempts
)

// Condition returns the condition of a configured target at time now: Serving, Out,
// Leaving, Lost, Silent or Ejected.
func (s State) Condition(target string, now time.Time) string {
	view := s.View(target)
	switch {
	case !s.Configuration.Available(target):
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

// Views returns the views of all targets that have reported, sorted by name.
func (s State) Views() []View {
	list := make([]View, 0, s.views.Len())
	for i := s.views.Iterator(); !i.Done(); {
		_, view, _ := i.Next()
		list = append(list, view)
	}
	return list
}

// WithReport returns the state after a report of a target's agent. Reports of
// targets outside the configuration are ignored.
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
// are leaving. The list may be stale, so it is used only to exclude targets from
// new work.
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

// WithAttempt returns the state after an attempt at a target succeeded or failed.
// After several consecutive failures the target is ejected for some time, unless
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

// countEjected returns how many other watched targets of the target's service are
// ejected, and how many targets of the service are watched, this one included.
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

// Choose selects a target that is not in tried for an admitted request, and mints
// a ticket with this ID for it. It selects a remote target only if no target in the
// instance's own failure domain can take the request.
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
// refuses a ticket that was minted for another account, service or call, or whose
// target is no longer configured.
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

// View returns the view of one target, which is empty before the first report.
func (s State) View(target string) View {
	view, found := s.views.Get(target)
	if !found {
		view.Target = target
	}
	return view
}

// withoutRemovedViews drops the views of targets that are no longer configured.
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
