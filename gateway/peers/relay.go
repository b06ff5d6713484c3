package peers

import (
	"context"
	"time"

	"hornbeamtray/gateway/follow"
)

// question asks for what changed after a revision.
type question struct {
	After uint64 `json:"after"`
}

// relayed is what a gateway knows of the platform.
type relayed struct {
	Complete bool          `json:"complete"`
	Items    []item        `json:"items"`
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age"` // since the read that proved it began
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"` // packed, where Length is set
	Length   int    `json:"length,omitempty"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// learn takes what a peer has read of the platform since the last own read. Its
// age counts from before the question, so that it is never taken for newer than
// it is.
func (p *Peers) learn(address string, g greeting, asked time.Time) {
	revision, at, _ := p.inbox.Mirror().SyncState()
	proved := asked.Add(-g.Age)
	switch {
	case !g.Complete || !proved.After(at) || g.Revision < revision:
	case g.Revision == revision:
		p.inbox.Apply(follow.Batch{Revision: revision, ReadAt: proved})
		p.caughtUp()
	case p.learning.TryLock():
		defer p.learning.Unlock()
		ctx, cancel := context.WithTimeout(p.tomb.Context(context.Background()), relayTimeout)
		defer cancel()
		if batch, found := p.ask(ctx, address, p.inbox.Mirror().Revision()); found {
			p.inbox.Apply(batch)
			p.caughtUp()
		}
	}
}

// caughtUp takes note that the gateway knows what a peer knew.
func (p *Peers) caughtUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behind = time.Time{}
}

func (p *Peers) relay(_ context.Context, read func(any) error) (any, error) {
	var q question
	if err := read(&q); err != nil {
		return nil, err
	}
	batch, complete := p.inbox.Mirror().Since(q.After)
	answer := relayed{Complete: complete, Revision: batch.Revision, Age: p.clock().Sub(batch.ReadAt)}
	for _, it := range batch.Items {
		packed, err := p.packed.item(it)
		if err != nil {
			return nil, err
		}
		answer.Items = append(answer.Items, packed)
	}
	return answer, nil
}

// FetchNewest returns the newest that any peer knows after a revision, and whether
// there is any. Its age counts from before the question, so that it is never
// taken for newer than it is.
func (p *Peers) FetchNewest(ctx context.Context, after uint64) (follow.Batch, bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answers := make(chan follow.Batch)
	addresses := p.known()
	for _, address := range addresses {
		p.tomb.Go(ask{peers: p, ctx: ctx, address: address, after: after, answers: answers}.run)
	}
	var best follow.Batch
	for range addresses {
		if batch := <-answers; batch.ReadAt.After(best.ReadAt) {
			best = batch
		}
	}
	return best, !best.ReadAt.IsZero()
}

// ask is one question to one peer. It always sends one batch, an empty one where
// the peer gave no answer.
type ask struct {
	peers   *Peers
	ctx     context.Context
	address string
	after   uint64
	answers chan<- follow.Batch
}

func (a ask) run() error {
	batch, _ := a.peers.ask(a.ctx, a.address, a.after)
	a.answers <- batch
	return nil
}

// ask asks one peer for what changed after a revision, and reports whether it
// knows everything up to its own.
func (p *Peers) ask(ctx context.Context, address string, after uint64) (follow.Batch, bool) {
	asked := p.clock()
	var answer relayed
	if err := p.client.Call(ctx, address, relayCall, question{After: after}, &answer); err != nil || !answer.Complete {
		return follow.Batch{}, false // another peer, or the store, may know more
	}
	batch := follow.Batch{Revision: answer.Revision, ReadAt: asked.Add(-answer.Age)}
	for _, it := range answer.Items {
		unpacked, err := unpack(it)
		if err != nil {
			return follow.Batch{}, false // as if it had not answered
		}
		batch.Items = append(batch.Items, unpacked)
	}
	return batch, true
}
