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

func configureRapid(checks string) {
	_ = flag.Set("rapid.seed", "1979")
	_ = flag.Set("rapid.checks", checks)
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
}

// history describes a random sequence of sends of one call, and its faults.
type history struct {
	Idempotent       bool
	FetchTicket      bool // the caller fetches a ticket first
	SendConcurrently bool // with FetchTicket, the caller also sends to the other entry instance at the same time
	LowRate          bool // the account may send only two requests
	Repeats          int
	Faults           []fault
}

func drawHistory(t *rapid.T) history {
	faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			point:    faultPoint(rapid.IntRange(0, int(faultPoints)-1).Draw(t, "point")),
			kind:     faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			loseVoid: rapid.Bool().Draw(t, "lose void"),
		}
	}), 0, 6)
	return history{
		Idempotent:       rapid.Bool().Draw(t, "idempotent"),
		FetchTicket:      rapid.Bool().Draw(t, "fetch ticket"),
		SendConcurrently: rapid.Bool().Draw(t, "send concurrently"),
		LowRate:          rapid.Bool().Draw(t, "low rate"),
		Repeats:          rapid.IntRange(0, 3).Draw(t, "repeats"),
		Faults:           faults.Draw(t, "faults"),
	}
}

// TestAtMostOnceThroughFaults runs random histories of a call over two entry
// instances and two agents. Whatever the faults, a non-idempotent request runs at
// most once, a request refused as not run did not run, and an answer that is not
// refused is whole.
func TestAtMostOnceThroughFaults(t *testing.T) {
	configureRapid("4000")
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		var violation string
		synctest.Test(t, func(*testing.T) { violation = runHistory(h) })
		if violation != "" {
			rt.Fatalf("%s\n%+v", violation, h)
		}
	})
}

// mustSucceed reports whether a refusal violates the guarantees: the faults only
// duplicate parts or insert parts of other answers, and the account's rate is high
// enough.
func (h history) mustSucceed() bool {
	for _, f := range h.Faults {
		if f.kind < duplicate || f.kind == dropLastPart || f.point == beforeSending || f.point == afterSending {
			return false
		}
	}
	return !h.LowRate
}

// historyRun is the run of one history.
type historyRun struct {
	history history
	entries []*serve.Service
	hosts   map[string]*host

	mu      sync.Mutex
	results []sendResult
}

// sendResult is the outcome and the answer text of one send.
type sendResult struct {
	outcome serve.Outcome
	text    string
}

const callBody = "pickup"

// runHistory runs h and returns the violated guarantee, or "".
func runHistory(h history) string {
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
	s := &historyRun{history: h, hosts: hosts}
	l := &link{hosts: hosts, faults: h.Faults}
	var reporters []*reporter
	for i := range 2 {
		e := newEntry(fmt.Sprintf("e%d", i), l, c)
		s.entries = append(s.entries, e)
		reporters = append(reporters, newReporter(e, hosts))
	}
	time.Sleep(1500 * time.Millisecond) // wait for the first reports
	s.sendAndRepeat()
	for _, r := range reporters {
		r.Close()
	}
	time.Sleep(2 * ticket.Lifetime) // wait until all delayed requests have arrived
	violation := s.violation()
	for _, e := range s.entries {
		_ = e.Close()
	}
	for _, host := range hosts {
		_ = host.current().Close()
	}
	return violation
}

func accountOf(h history) fleet.Account {
	account := fleet.NewAccount("a", demoDigest())
	if h.LowRate {
		account = account.WithRate(0.001, 2)
	}
	return account
}

func (s *historyRun) request(t *ticket.Ticket) serve.Request {
	call := "book"
	if s.history.Idempotent {
		call = "status"
	}
	return serve.Request{KeyDigest: demoDigest(), Service: "orders", Call: call, Body: []byte(callBody), Ticket: t}
}

// sendAndRepeat sends the request, and repeats it with its ticket while the outcome
// is unknown, at most Repeats times.
func (s *historyRun) sendAndRepeat() {
	var fetched *ticket.Ticket
	if s.history.FetchTicket {
		t, refused := s.entries[0].Mint(context.Background(), s.request(nil))
		if refused != nil {
			return
		}
		fetched = &t
	}
	var both sync.WaitGroup
	if s.history.SendConcurrently && fetched != nil {
		both.Add(1)
		go func() {
			defer both.Done()
			s.send(1, fetched)
		}()
	}
	outcome := s.send(0, fetched)
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

func (s *historyRun) send(entry int, t *ticket.Ticket) serve.Outcome {
	var out recordedAnswer
	outcome := s.entries[entry%len(s.entries)].Serve(context.Background(), s.request(t), &out)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, sendResult{outcome: outcome, text: out.text.String()})
	return outcome
}

// violation returns the violated guarantee, or "".
func (s *historyRun) violation() string {
	runs := 0
	for _, h := range s.hosts {
		runs += h.engine.count(callBody)
	}
	if !s.history.Idempotent && runs > 1 {
		return fmt.Sprintf("ran %d times", runs)
	}
	for _, result := range s.results {
		switch refused := result.outcome.Refusal; {
		case refused != nil && s.history.mustSucceed():
			return fmt.Sprintf("refused (%s), though no part was lost", refused.Kind)
		case refused == nil && result.text != answerTo(callBody):
			return fmt.Sprintf("a whole answer has %d bytes, want %d", len(result.text), len(answerTo(callBody)))
		case refused == nil && runs == 0:
			return "answered, but no target ran the request"
		case refused != nil && refused.Ran == refusal.No && runs > 0:
			return fmt.Sprintf("refused as not run (%s), but ran %d times", refused.Kind, runs)
		}
	}
	return ""
}
