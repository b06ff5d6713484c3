package lead

import (
	"context"
	"maps"
	"sync"
	"time"

	"hornbeamtray/core/switching"
)

// keptFor is how long what a rank said serves while its steward gives no answer
// and nothing is in progress: to ask it from afar is dear.
const keptFor = time.Second

// sight is what a rank said at a time.
type sight struct {
	observation Observation
	at          time.Time
}

// sights is what the ranks of a group said last. It belongs to the goroutine of
// Lead.
type sights struct {
	last map[int]sight
}

// fill adds what is known of the ranks whose stewards gave no answer: what they
// said a short while ago where that will do, otherwise what they say themselves.
// Nothing that a rank said in an epoch becomes false later in a way that lets a
// pass begin on two maps: core/switching is tested with late statuses.
func (s *sights) fill(ctx context.Context, ranks Ranks, own Observation, observed map[int]Observation, idle bool, now time.Time) map[int]Observation {
	filled, last := maps.Clone(observed), map[int]sight{}
	for rank, o := range observed {
		last[rank] = sight{observation: o, at: now}
	}
	var asking sync.WaitGroup
	var asks []*direct
	for rank := range own.Status.Size {
		if _, found := observed[rank]; found {
			continue
		}
		before := s.last[rank]
		if !before.of(own) {
			before = sight{}
		}
		if idle && before.serves(own.Status, now) {
			filled[rank], last[rank] = before.observation, before
			continue
		}
		a := &direct{ranks: ranks, ctx: ctx, rank: rank, before: before}
		asks = append(asks, a)
		asking.Go(a.run)
	}
	asking.Wait()
	for _, a := range asks {
		last[a.rank] = a.before
		if a.err == nil {
			filled[a.rank], last[a.rank] = a.observation, sight{observation: a.observation, at: now}
		}
	}
	s.last = last
	return filled
}

// of reports whether it is of the present epoch of the own group.
func (s sight) of(own Observation) bool {
	return !s.at.IsZero() && s.observation.Group == own.Group && s.observation.Status.Epoch == own.Status.Epoch
}

// serves reports whether it may stand for what the rank would say now.
func (s sight) serves(own switching.Status, now time.Time) bool {
	status := s.observation.Status
	return now.Sub(s.at) < keptFor && status.Map == own.Map && status.Armed == 0 && status.Held == 0
}

// direct is a question to one rank whose steward gave no answer.
type direct struct {
	ranks       Ranks
	ctx         context.Context
	rank        int
	before      sight // of the present epoch; zero for none
	observation Observation
	err         error
}

// run asks. Lists are dear from afar, and change with the map only.
func (d *direct) run() {
	known := !d.before.at.IsZero()
	d.observation, d.err = d.ranks.One(d.ctx, d.rank, !known)
	if d.err != nil || !known || d.observation.Lists != nil {
		return
	}
	if d.observation.Status.Map == d.before.observation.Status.Map {
		d.observation.Lists = d.before.observation.Lists
		return
	}
	d.observation, d.err = d.ranks.One(d.ctx, d.rank, true)
}
