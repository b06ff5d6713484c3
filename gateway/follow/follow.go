// Package follow keeps a gateway's knowledge of what the platform publishes up
// to date: it reads the platform's store, or peers that have read it, and hands
// what is new to the control goroutine.
//
// Published items are opaque here; an adapter decodes them.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/core/dispatch"
)

const (
	pace         = 700 * time.Millisecond // between reads that brought news; calls are priced, and a drain allows 2 s
	watchParts   = 6                      // a watch lasts one of so many parts of the bound on proof, which is up to two watches old
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond // the store's return is to be noticed well within a second
	relayPace    = 400 * time.Millisecond // between questions to peers while the store can't be read
	sparedPace   = 200 * time.Millisecond // between looks whether enough others still read the store
	sparedParts  = 2                      // proof that is older than one of so many parts of its bound shows that peers don't tell
	doubtTime    = 5 * time.Second        // for how long peers that did not tell are not relied on
)

// Item is one published item.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Batch is what one read brought.
type Batch struct {
	Items    []Item
	Revision uint64    // Revision is that up to which all is known.
	Whole    bool      // Whole: everything that exists is in Items.
	At       time.Time // At is when the read began.
}

// ErrCompacted is the cause of an error of Watch where the changes after a
// revision are no longer known, so that everything must be listed anew.
var ErrCompacted = errors.New("the history after this revision was dropped")

// Store reads what the platform publishes.
type Store interface {
	// List reads everything.
	List(ctx context.Context) (Batch, error)
	// Watch waits for changes after a revision, for at most wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Peers tells what other gateways have read.
type Peers interface {
	// Relayed returns the newest that any peer knows after a revision, and
	// whether there is any.
	Relayed(ctx context.Context, after uint64) (Batch, bool)
	// Spared reports whether enough others read the store and tell what they read.
	Spared() bool
}

// Control takes what is new.
type Control interface {
	Change(change func(dispatch.State, time.Time) dispatch.State)
}

// Decode turns a batch into an update.
type Decode func(Batch, time.Time) dispatch.Update

// Journal writes events.
type Journal interface {
	Event(event string, pairs ...any)
}

// Inbox takes what was read, from the store or from peers. It bears concurrent use.
type Inbox struct {
	mirror  *Mirror
	control Control
	decode  Decode
	clock   func() time.Time
}

// NewInbox returns an inbox that keeps batches in a mirror and hands their news
// to the control goroutine.
func NewInbox(mirror *Mirror, control Control, decode Decode, clock func() time.Time) *Inbox {
	return &Inbox{mirror: mirror, control: control, decode: decode, clock: clock}
}

// Mirror returns what was taken so far.
func (i *Inbox) Mirror() *Mirror { return i.mirror }

// Take takes a batch.
func (i *Inbox) Take(batch Batch) {
	i.mirror.Take(batch)
	news := i.decode(batch, i.clock())
	i.control.Change(func(s dispatch.State, now time.Time) dispatch.State {
		return s.WithUpdate(news, now)
	})
}

// Follower follows the platform until Close.
type Follower struct {
	tomb    tomb.Tomb
	store   Store
	peers   Peers
	inbox   *Inbox
	journal Journal
	proof   time.Duration // bound on the age of proof
	watch   time.Duration // how long a watch waits for news

	spared  bool          // owned by run
	doubt   time.Time     // owned by run; until when peers are not relied on
	lost    bool          // owned by run
	backoff time.Duration // owned by run
	relayed time.Time     // owned by run; when peers were last asked
}

// New starts following, often enough that proof is never as old as a bound.
func New(store Store, peers Peers, inbox *Inbox, journal Journal, proof time.Duration) *Follower {
	f := &Follower{store: store, peers: peers, inbox: inbox, journal: journal, proof: proof, watch: proof / watchParts, backoff: firstBackoff}
	f.tomb.Go(f.run)
	return f
}

// Close stops following and waits.
func (f *Follower) Close() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

func (f *Follower) run() error {
	ctx := f.tomb.Context(context.Background())
	whole := true
	for ctx.Err() == nil {
		if !whole && f.rests() {
			clock.Pause(ctx, sparedPace)
			continue
		}
		batch, err := f.read(ctx, whole)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrCompacted):
			f.journal.Event("store history dropped", "revision", f.inbox.mirror.Revision())
			whole = true
			clock.Pause(ctx, firstBackoff)
		case err != nil:
			f.failed(ctx, err)
		default:
			whole = false
			f.regained()
			f.inbox.mirror.Stand(Standing{Read: f.inbox.clock(), Outage: f.inbox.mirror.Standing().Outage})
			f.inbox.Take(batch)
			if len(batch.Items) > 0 {
				clock.Pause(ctx, pace)
			}
		}
	}
	return nil
}

func (f *Follower) read(ctx context.Context, whole bool) (Batch, error) {
	if whole {
		return f.store.List(ctx)
	}
	return f.store.Watch(ctx, f.inbox.mirror.Revision(), f.watch)
}

// rests reports whether others read the store for this gateway. Calls are priced
// and limited for all machines together, so few of many read. One that can't read
// the store goes on trying, and one whose peers tell of no fresh proof reads by itself for a while.
func (f *Follower) rests() bool {
	now := f.inbox.clock()
	old := now.Sub(f.inbox.mirror.At()) > f.proof/sparedParts
	if old {
		f.doubt = now.Add(doubtTime)
	}
	spared := !f.lost && !now.Before(f.doubt) && f.peers.Spared()
	if spared != f.spared {
		f.spared = spared
		f.journal.Event("reading the store", "spared", spared, "revision", f.inbox.mirror.Revision(), "old", old)
	}
	return spared
}

// failed notes that the store can't be read, and asks peers that may still read it.
func (f *Follower) failed(ctx context.Context, err error) {
	f.inbox.mirror.Stand(Standing{Read: f.inbox.mirror.Standing().Read, Outage: f.inbox.clock()})
	if !f.lost {
		f.lost = true
		f.journal.Event("store lost", "error", err.Error(), "revision", f.inbox.mirror.Revision())
		f.inbox.control.Change(func(s dispatch.State, now time.Time) dispatch.State {
			return s.WithStore(false, "it can't be read", now)
		})
	}
	if now := f.inbox.clock(); now.Sub(f.relayed) >= relayPace {
		f.relayed = now
		if batch, found := f.peers.Relayed(ctx, f.inbox.mirror.Revision()); found {
			f.inbox.Take(batch)
		}
	}
	clock.Pause(ctx, f.backoff/2+time.Duration(rand.Float64()*float64(f.backoff/2)))
	f.backoff = min(2*f.backoff, maxBackoff)
}

func (f *Follower) regained() {
	f.backoff = firstBackoff
	if !f.lost {
		return
	}
	f.lost = false
	f.journal.Event("store regained", "revision", f.inbox.mirror.Revision())
	f.inbox.control.Change(func(s dispatch.State, now time.Time) dispatch.State {
		return s.WithStore(true, "it was read again", now)
	})
}
