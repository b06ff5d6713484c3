// Package survey learns to which group of ranks each target belongs, and whether
// the group accepts requests, from the stewards beside the targets.
//
// A few gateways ask each steward, and tell their peers. Which ones is computed from
// the gateways that are known to run, without an agreement between them.
package survey

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
)

// Call is the name of the call by which a steward reports the rank of its target.
const Call = "/steward/Rank"

const (
	interval        = 150 * time.Millisecond // between rounds
	openInterval    = time.Second            // between calls to a steward whose group accepts requests, or that did not answer
	callTimeout     = 200 * time.Millisecond // longer than a round trip between failure domains to a busy steward
	askedBy         = 3                      // gateways that ask each steward; one is left if a failure domain is cut off
	lostSampleRanks = 4                      // ranks of a lost group whose stewards are asked each round
	reportLifetime  = 2500 * time.Millisecond
	changeLifetime  = 3 * time.Second // a change has been reported to most peers by then
)

// Service is the gateway whose state the reports are applied to.
type Service interface {
	State() dispatch.State
	Change(change func(dispatch.State, time.Time) dispatch.State)
}

// Survey asks stewards for the ranks of their targets.
type Survey struct {
	tomb     tomb.Tomb
	address  string
	port     string
	gateways func() []string
	client   *wire.Client
	service  Service
	clock    func() time.Time

	mu        sync.Mutex
	reports   map[string]dispatch.RankReport // latest answers by target; guarded by mu
	changedAt map[string]time.Time           // when a rank last changed, by target; guarded by mu
	askedAt   map[string]time.Time           // by target; owned by run
}

// New starts a survey, which runs until Close. All stewards listen on the same port,
// each on the IP of its target. The function gateways returns the addresses of the
// other gateways that run; address is that of this one.
func New(address string, port int, gateways func() []string, client *wire.Client, service Service, clock func() time.Time) *Survey {
	s := &Survey{
		address: address, port: strconv.Itoa(port), gateways: gateways, client: client, service: service, clock: clock,
		reports: map[string]dispatch.RankReport{}, changedAt: map[string]time.Time{}, askedAt: map[string]time.Time{},
	}
	s.tomb.Go(s.run)
	return s
}

// Close stops the survey and waits until it has stopped.
func (s *Survey) Close() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// Reports returns what stewards recently reported to this gateway, sorted by target:
// all of it, or of the ranks that changed within changeLifetime.
func (s *Survey) Reports(all bool) []dispatch.RankReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []dispatch.RankReport
	for target, r := range s.reports {
		if s.clock().Sub(r.ReadAt) > reportLifetime {
			delete(s.reports, target)
			delete(s.changedAt, target)
			continue
		}
		if all || s.clock().Sub(s.changedAt[target]) <= changeLifetime {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b dispatch.RankReport) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

func (s *Survey) run() error {
	ctx := s.tomb.Context(context.Background())
	for ctx.Err() == nil {
		s.round(ctx)
		clock.Pause(ctx, interval)
	}
	return nil
}

// round asks the stewards that are due and applies their answers.
func (s *Survey) round(ctx context.Context) {
	var pending sync.WaitGroup
	var queries []*query
	for _, t := range s.due() {
		q := &query{survey: s, ctx: ctx, target: t.Address}
		queries = append(queries, q)
		pending.Go(q.run)
	}
	pending.Wait()
	var reports []dispatch.RankReport
	for _, q := range queries {
		if q.answered && q.report.Rank.Group != "" {
			reports = append(reports, q.report)
		}
	}
	if len(reports) == 0 {
		return
	}
	s.mu.Lock()
	for _, r := range reports {
		if changed(s.reports[r.Target].Rank, r.Rank) {
			s.changedAt[r.Target] = r.ReadAt
		}
		s.reports[r.Target] = r
	}
	s.mu.Unlock()
	s.service.Change(func(state dispatch.State, now time.Time) dispatch.State {
		return state.WithRanks(reports, now)
	})
}

// changed reports whether a rank changed in what gateways act on.
func changed(before, after roster.Rank) bool {
	before.Pace, after.Pace = 0, 0
	before.Map, after.Map = min(before.Map, 1), min(after.Map, 1) // whether the group still uses its first map
	return before != after
}

// due returns the targets whose stewards this gateway asks now.
func (s *Survey) due() []roster.Target {
	state, now, gateways := s.service.State(), s.clock(), s.gateways()
	var list []roster.Target
	asked := map[string]time.Time{}
	for _, t := range state.Roster.Targets() {
		service, found := state.Book.Service(t.Service)
		if _, seen := asked[t.Address]; seen || !found || service.Engine.Layers == 0 {
			continue // the entry of a process that crashed may be listed beside its successor's
		}
		at := s.askedAt[t.Address]
		if now.Sub(at) >= waitBefore(state, t) && s.asks(t.Address, gateways) {
			list, at = append(list, t), now
		}
		asked[t.Address] = at
	}
	s.askedAt = asked
	return list
}

// waitBefore returns the time between two calls to the steward beside a target. Some
// stewards of a lost group are asked each round, so that its return is noticed soon.
func waitBefore(state dispatch.State, t roster.Target) time.Duration {
	report, known := state.Rank(t.Address)
	if known && state.Lost(t) && report.Rank.Number%max(1, report.Rank.Size/lostSampleRanks) == 0 {
		return 0
	}
	return openInterval
}

// asks reports whether this gateway is one of the askedBy that ask the steward beside
// a target.
func (s *Survey) asks(target string, gateways []string) bool {
	own, before := weight(target, s.address), 0
	for _, other := range gateways {
		if other != s.address && weight(target, other) < own {
			before++
		}
	}
	return before < askedBy
}

// weight orders the gateways for a target, differently for each target.
func weight(target, gateway string) uint64 { return xxhash.Sum64String(target + " " + gateway) }

// query is a call to the steward beside one target.
type query struct {
	survey   *Survey
	ctx      context.Context
	target   string
	report   dispatch.RankReport
	answered bool
}

func (q *query) run() {
	host, _, err := net.SplitHostPort(q.target)
	if err != nil {
		return // the entry of the target names no address
	}
	ctx, cancel := context.WithTimeout(q.ctx, callTimeout)
	defer cancel()
	q.report = dispatch.RankReport{Target: q.target, ReadAt: q.survey.clock()}
	q.answered = q.survey.client.Call(ctx, net.JoinHostPort(host, q.survey.port), Call, struct{}{}, &q.report.Rank) == nil
}
