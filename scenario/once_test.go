package scenario

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"hornbeamtray/core/fleet"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/ticket"
	"hornbeamtray/entry/serve"
)

func setRapid(checks string) {
	_ = flag.Set("rapid.seed", "1979")
	_ = flag.Set("rapid.checks", checks)
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
}

// history is one random course of a call with faults and repeats.
type history struct {
	Idempotent bool
	Fetch      bool // the caller fetches a ticket first
	Both       bool // it sends the same ticket over two entries at once
	Tight      bool // the account may send only two requests
	Repeats    int
	Faults     []fault
}

func drawHistory(t *rapid.T) history {
	faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			point:    point(rapid.IntRange(0, int(points)-1).Draw(t, "point")),
			strike:   strike(rapid.IntRange(0, int(strikes)-1).Draw(t, "strike")),
			loseVoid: rapid.Bool().Draw(t, "lose void"),
		}
	}), 0, 6)
	return history{
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Fetch:      rapid.Bool().Draw(t, "fetch"),
		Both:       rapid.Bool().Draw(t, "both"),
		Tight:      rapid.Bool().Draw(t, "tight"),
		Repeats:    rapid.IntRange(0, 3).Draw(t, "repeats"),
		Faults:     faults.Draw(t, "faults"),
	}
}

// TestAtMostOnceThroughFaults plays random histories of a call over two entry
// instances and two agents. Whatever strikes, a non-idempotent request runs at
// most once, "not run" is true, and an answer is whole or refused.
func TestAtMostOnceThroughFaults(t *testing.T) {
	setRapid("4000")
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		var found string
		synctest.Test(t, func(*testing.T) { found = play(h) })
		if found != "" {
			rt.Fatalf("%s\n%+v", found, h)
		}
	})
}

// harmless reports whether nothing of the history is ever lost: parts come twice
// or between others at the most.
func (h history) harmless() bool {
	for _, f := range h.Faults {
		if f.strike < double || f.strike == lose || f.point == beforeSending || f.point == afterSending {
			return false
		}
	}
	return !h.Tight
}

// session is one history being played.
type session struct {
	history history
	entries []*serve.Service
	hosts   map[string]*host

	mu      sync.Mutex
	answers []seen
}

// seen is what one send came to.
type seen struct {
	outcome serve.Outcome
	text    string
}

const callBody = "pickup"

func play(h history) string {
	c := fleet.NewConfiguration().WithVersion(1).
		WithDomain(fleet.NewDomain("d0")).
		WithService(fleet.NewService("orders", fleet.Plain).WithIdempotent("status")).
		WithAccount(accountOf(h))
	hosts := map[string]*host{}
	for i := range 2 {
		target := fleet.NewTarget(fmt.Sprintf("t%d", i), "orders", "d0", fmt.Sprintf("10.0.0.%d:1", i+1))
		c = c.WithTarget(target)
	}
	for _, target := range c.Targets() {
		hosts[target.Address] = newHost(target.Name, c)
	}
	s := &session{history: h, hosts: hosts}
	l := &link{hosts: hosts, script: h.Faults}
	var feeders []*feeder
	for i := range 2 {
		e := newEntry(fmt.Sprintf("e%d", i), l, c)
		s.entries = append(s.entries, e)
		feeders = append(feeders, newFeeder(e, hosts))
	}
	time.Sleep(1500 * time.Millisecond) // all targets have reported
	s.call()
	for _, f := range feeders {
		f.Close()
	}
	time.Sleep(2 * ticket.Lifetime) // whatever is still on its way arrives
	verdict := s.verdict()
	for _, e := range s.entries {
		_ = e.Close()
	}
	for _, host := range hosts {
		_ = host.current().Close()
	}
	return verdict
}

func accountOf(h history) fleet.Account {
	account := fleet.NewAccount("a", demoDigest())
	if h.Tight {
		account = account.WithRate(0.001, 2)
	}
	return account
}

func (s *session) request(t *ticket.Ticket) serve.Request {
	call := "book"
	if s.history.Idempotent {
		call = "status"
	}
	return serve.Request{KeyDigest: demoDigest(), Service: "orders", Call: call, Body: []byte(callBody), Ticket: t}
}

// call sends the request, and repeats it under its ticket while the outcome is
// not known.
func (s *session) call() {
	var held *ticket.Ticket
	if s.history.Fetch {
		t, refused := s.entries[0].Mint(context.Background(), s.request(nil))
		if refused != nil {
			return
		}
		held = &t
	}
	var both sync.WaitGroup
	if s.history.Both && held != nil {
		both.Add(1)
		go func() {
			defer both.Done()
			s.send(1, held)
		}()
	}
	outcome := s.send(0, held)
	for i := range s.history.Repeats {
		if outcome.Refusal == nil || outcome.Refusal.Ran != refusal.Unknown || outcome.Ticket.ID == "" {
			break
		}
		t := outcome.Ticket
		time.Sleep(300 * time.Millisecond)
		outcome = s.send(i+1, &t)
	}
	both.Wait()
}

func (s *session) send(entry int, t *ticket.Ticket) serve.Outcome {
	var out written
	outcome := s.entries[entry%len(s.entries)].Serve(context.Background(), s.request(t), &out)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, seen{outcome: outcome, text: out.text.String()})
	return outcome
}

// verdict returns what went wrong, "" where nothing did.
func (s *session) verdict() string {
	runs := 0
	for _, h := range s.hosts {
		runs += h.engine.count(callBody)
	}
	if !s.history.Idempotent && runs > 1 {
		return fmt.Sprintf("ran %d times", runs)
	}
	for _, a := range s.answers {
		switch refused := a.outcome.Refusal; {
		case refused != nil && s.history.harmless():
			return fmt.Sprintf("refused (%s), though every part arrived", refused.Kind)
		case refused == nil && a.text != answerTo(callBody):
			return fmt.Sprintf("a whole answer has %d bytes, want %d", len(a.text), len(answerTo(callBody)))
		case refused == nil && runs == 0:
			return "answered without a run"
		case refused != nil && refused.Ran == refusal.No && runs > 0:
			return fmt.Sprintf("refused as not run (%s), but ran %d times", refused.Kind, runs)
		}
	}
	return ""
}
