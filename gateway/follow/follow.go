// Package follow keeps a gateway in sync with what the platform publishes. It
// reads the platform's store, or fetches from peers that have read it, and
// applies the changes on the control goroutine.
//
// The values of items are opaque here; an adapter decodes them.
package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
)

const (
	readInterval         = 700 * time.Millisecond // pause after a read that returned items, so that a series of changes takes few of the calls that the store answers to all machines together; a drain must be noticed within 2 s
	watchDivisor         = 6                      // a watch lasts at most maxStaleness / watchDivisor; see watchTimeout
	minBackoff           = 100 * time.Millisecond
	maxBackoff           = 500 * time.Millisecond // the follower must notice well within a second that the store is back
	fetchInterval        = 400 * time.Millisecond // between fetches from peers while the store can't be read
	readersCheckInterval = 200 * time.Millisecond // between checks whether enough peers still read the store
	staleDivisor         = 2                      // a sync time older than maxStaleness / staleDivisor shows that peers don't pass on what they read
	ownReadTime          = 5 * time.Second        // how long a gateway with such an old sync time reads the store itself

	// A failed read is repeated at once, without waiting for changes: the store may cut a
	// waiting watch, or answer one read with an error. It counts as lost once lossReads have
	// failed within at least lossTime, or one had no answer for silenceTime. A read that seems to have
	// taken longer than freezeTime shows that the process itself stood still.
	confirmInterval = 50 * time.Millisecond
	lossTime        = 150 * time.Millisecond
	lossReads       = 3
	silenceTime     = 500 * time.Millisecond
	freezeTime      = 2 * time.Second
)

// Item is one published item.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
	Lost     bool   // Lost means that the store lacks the item since it came back from an older copy.
	Version  uint64 // Version is that of a value which has one; a lower version never replaces a higher one.
}

// Batch is the result of one read.
type Batch struct {
	Items    []Item
	Revision uint64    // Revision is the last revision that the read covers.
	Complete bool      // Complete is set if Items holds everything that exists, so that what is missing was removed.
	ReadAt   time.Time // ReadAt is when the read began.
}

// Versioned returns a batch of the values that have a version, which proves nothing about
// others.
func (b Batch) Versioned() Batch {
	return Batch{Items: slices.DeleteFunc(slices.Clone(b.Items), func(i Item) bool { return i.Version == 0 })}
}

// version returns the highest version of a value that has one.
func (b Batch) version() uint64 {
	var highest uint64
	for _, item := range b.Items {
		highest = max(highest, item.Version)
	}
	return highest
}

// LaterThan reports whether the batch is of a later era of the store than another, or of
// the same one and read later.
func (b Batch) LaterThan(other Batch) bool {
	if era, otherEra := roster.Era(b.Revision), roster.Era(other.Revision); era != otherEra {
		return era > otherEra
	}
	return b.ReadAt.After(other.ReadAt)
}

// behind reports whether the batch is from a replica that lags: its revision is lower than
// one known when the read began. Without eras, the store may have gone back instead.
func (b Batch) behind(known uint64) bool {
	return roster.Era(b.Revision) > 0 && b.Revision < known
}

// ErrCompacted is wrapped by an error of Watch if the store no longer has the
// changes after the revision passed to Watch. The caller must then call List.
var ErrCompacted = errors.New("the history after this revision was dropped")

// ErrUnusable is wrapped by an error of a Store that answered, but not with what was
// asked for. It is reachable, and not lost.
var ErrUnusable = errors.New("the store's answer can't be used")

// errEarlierEra is the error of a read that returned the state of an earlier era than one
// that the gateway or a peer has read.
var errEarlierEra = fmt.Errorf("%w: it is of the state before the store went back; the last state read stays in force", ErrUnusable)

// errBehind is the error of a read that returned an earlier state than was known when it
// began, so that it lacks acknowledged changes.
var errBehind = fmt.Errorf("%w: it is of a replica that lags behind; the last state read stays in force", ErrUnusable)

// Store reads what the platform publishes.
type Store interface {
	// List returns all published items.
	List(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision. If there are none yet, it
	// waits for some, for at most wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Peers gives access to what other gateways have read.
type Peers interface {
	// FetchNewest returns the changes after a revision from the peer that
	// synced last, or false if no peer could supply them.
	FetchNewest(ctx context.Context, after uint64) (Batch, bool)
	// FetchVersions returns the values that have a version from the peer that holds the
	// highest one, or false if no peer that responds holds one above the given version.
	FetchVersions(ctx context.Context, above uint64) (Batch, bool)
	// EnoughReaders reports whether enough peers read the store and pass on
	// what they read.
	EnoughReaders() bool
}

// Control applies changes to the gateway's state on the control goroutine.
type Control interface {
	Change(change func(dispatch.State, time.Time) dispatch.State)
}

// Decode converts a batch to an update of the state.
type Decode func(Batch, time.Time) dispatch.Update

// Journal records events.
type Journal interface {
	Event(event string, pairs ...any)
}

// Inbox applies batches from the store and from peers. It is safe for
// concurrent use.
type Inbox struct {
	mirror  *Mirror
	control Control
	decode  Decode
	clock   func() time.Time

	applying sync.Mutex // held while a batch enters the mirror and is sent to control
}

// NewInbox returns an inbox that stores batches in a mirror and applies them to
// the state through control.
func NewInbox(mirror *Mirror, control Control, decode Decode, clock func() time.Time) *Inbox {
	return &Inbox{mirror: mirror, control: control, decode: decode, clock: clock}
}

// Mirror returns the mirror that holds the batches applied so far.
func (i *Inbox) Mirror() *Mirror { return i.mirror }

// Apply stores a batch in the mirror and applies it to the gateway's state. It reports
// whether it did: a batch of an earlier era than that of the mirror proves nothing.
//
// Another read may prove that the mirror's revision is up to date as soon as the mirror
// holds it, and this proof must not reach the state before the batch does. So the batch is
// decoded before, and batches reach the state in the order in which they enter the mirror.
func (i *Inbox) Apply(batch Batch) bool {
	update := i.decode(batch, i.clock())
	i.applying.Lock()
	defer i.applying.Unlock()
	if !i.mirror.Apply(batch) {
		return false
	}
	i.control.Change(func(s dispatch.State, now time.Time) dispatch.State {
		return s.WithUpdate(update, now)
	})
	return true
}

// Follower reads the store, or fetches from peers, and applies what it gets to an
// inbox until Close.
type Follower struct {
	tomb         tomb.Tomb
	store        Store
	peers        Peers
	inbox        *Inbox
	journal      Journal
	maxStaleness time.Duration // bound on the age of the mirror's sync time
	// watchTimeout is how long a watch without changes lasts. The mirror's sync time is
	// when the last finished read of the store began. Just before a watch ends, this is
	// the beginning of the watch before it, so the sync time is up to two watches old: a
	// third of maxStaleness, plus readInterval if the earlier watch returned items.
	watchTimeout time.Duration

	skipsReads    bool          // owned by run; last result of skipRead
	ownReadsUntil time.Time     // owned by run; until then the gateway reads the store itself
	failingSince  time.Time     // owned by run; when the first of the reads since the last successful one failed, zero if none did
	failures      int           // owned by run; reads that failed since then
	storeLost     bool          // owned by run
	backoff       time.Duration // owned by run
	lastFetch     time.Time     // owned by run; last fetch from peers
}

// New starts a follower. It syncs often enough that the mirror's sync time is at most
// maxStaleness old as long as the store, or a peer that reads it, responds.
func New(store Store, peers Peers, inbox *Inbox, journal Journal, maxStaleness time.Duration) *Follower {
	f := &Follower{store: store, peers: peers, inbox: inbox, journal: journal, maxStaleness: maxStaleness, watchTimeout: maxStaleness / watchDivisor, backoff: minBackoff}
	f.tomb.Go(f.run)
	return f
}

// Close stops the follower and waits until it has stopped.
func (f *Follower) Close() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

func (f *Follower) run() error {
	ctx := f.tomb.Context(context.Background())
	full := true
	for ctx.Err() == nil {
		if !full && f.skipRead() {
			f.failingSince = time.Time{}
			clock.Pause(ctx, readersCheckInterval)
			continue
		}
		began, wait, known := f.inbox.clock(), f.wait(full), f.inbox.mirror.Revision()
		batch, err := f.read(ctx, full, known, wait)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrCompacted):
			f.journal.Event("store history dropped", "revision", roster.Number(f.inbox.mirror.Revision()))
			full, f.failingSince = true, time.Time{}
			clock.Pause(ctx, minBackoff)
		case errors.Is(err, ErrUnusable):
			f.answerUnusable(ctx, err)
		case err != nil:
			f.readFailed(ctx, err, began, wait)
		case roster.Era(batch.Revision) < roster.Era(f.inbox.mirror.Revision()):
			full = true
			f.answerUnusable(ctx, errEarlierEra)
		case batch.behind(known):
			f.answerUnusable(ctx, errBehind)
		default:
			if full {
				f.logListing(batch)
				f.fetchLost(ctx, batch, known)
			}
			full = false
			f.readSucceeded()
			f.inbox.mirror.SetStoreAccess(StoreAccess{LastRead: f.inbox.clock(), ReadBegan: batch.ReadAt, LastFailure: f.inbox.mirror.StoreAccess().LastFailure})
			f.inbox.Apply(batch)
			if len(batch.Items) > 0 && !f.outdated() {
				clock.Pause(ctx, readInterval)
			}
		}
	}
	return nil
}

// logListing logs what a full listing says, before it is applied.
func (f *Follower) logListing(batch Batch) {
	held := f.inbox.mirror.Revision()
	f.journal.Event("store listed", "era", roster.Era(batch.Revision), "revision", roster.Number(batch.Revision),
		"held_era", roster.Era(held), "held", roster.Number(held), "older", f.inbox.mirror.countNewer(batch))
}

// fetchLost applies the versions that a listing of a later era of the store may lack and
// peers hold. A gateway with a recent sync time knows them: before the store came back, it was
// up to date. One that was paused or has just started would accept keys by the older copy.
func (f *Follower) fetchLost(ctx context.Context, batch Batch, known uint64) {
	if roster.Era(batch.Revision) <= roster.Era(known) || !f.outdated() {
		return
	}
	if lost, found := f.peers.FetchVersions(ctx, max(batch.version(), f.inbox.mirror.Version())); found {
		f.inbox.Apply(lost)
	}
}

func (f *Follower) read(ctx context.Context, full bool, after uint64, wait time.Duration) (Batch, error) {
	if full {
		return f.store.List(ctx)
	}
	return f.store.Watch(ctx, after, wait)
}

// wait returns how long the next read may take without an answer of the store: not at all
// after a failed read. A watch doesn't wait for changes either if the sync time is so old
// that the gateway may be refusing keys, as after a pause.
func (f *Follower) wait(full bool) time.Duration {
	if f.failingSince.IsZero() && (full || !f.outdated()) {
		return f.watchTimeout
	}
	return 0
}

// outdated reports whether the sync time is older than any watch leaves it: the process was
// paused, or the store and the peers didn't respond.
func (f *Follower) outdated() bool {
	return f.inbox.clock().Sub(f.inbox.mirror.SyncedAt()) > f.maxStaleness/staleDivisor
}

// skipRead reports whether the gateway leaves reading the store to its peers.
// The store limits the calls of all machines together, so only a few of many
// gateways read. A gateway that can't read the store keeps trying.
// If the sync time of a gateway is too old, its peers don't pass on what they
// read, and it reads the store itself for ownReadTime.
func (f *Follower) skipRead() bool {
	now, stale := f.inbox.clock(), f.outdated()
	if stale {
		f.ownReadsUntil = now.Add(ownReadTime)
	}
	skip := !f.storeLost && !now.Before(f.ownReadsUntil) && f.peers.EnoughReaders()
	if skip != f.skipsReads {
		f.skipsReads = skip
		f.journal.Event("reading the store", "spared", skip, "revision", roster.Number(f.inbox.mirror.Revision()), "old", stale)
	}
	return skip
}

// readFailed handles a failed read that began at the given time and was allowed to wait: it
// lets it be repeated, or, once the store counts as lost, fetches from peers and backs off.
func (f *Follower) readFailed(ctx context.Context, err error, began time.Time, wait time.Duration) {
	now := f.inbox.clock()
	silence := now.Sub(began) - wait
	first := f.failingSince.IsZero()
	if first {
		f.failingSince, f.failures = now, 0
		f.journal.Event("store read failed", "error", err.Error(), "silent", silence, "revision", roster.Number(f.inbox.mirror.Revision()))
	}
	f.failures++
	unanswered := silence >= silenceTime && silence < freezeTime
	if !f.storeLost && !unanswered && (f.failures < lossReads || now.Sub(f.failingSince) < lossTime) {
		if !first {
			clock.Pause(ctx, confirmInterval)
		}
		return
	}
	if !f.storeLost {
		f.storeLost = true
		f.journal.Event("store lost", "error", err.Error(), "revision", roster.Number(f.inbox.mirror.Revision()))
	}
	access := f.inbox.mirror.StoreAccess()
	access.LastFailure = now
	f.inbox.mirror.SetStoreAccess(access)
	since, failedAt := f.failingSince, began
	if first {
		since = now.Add(-silence)
		failedAt = since
	}
	f.inbox.control.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithStoreLost(since, failedAt, now) })
	f.fetchAndBackOff(ctx)
}

// answerUnusable handles an answer of the store that can't be used.
func (f *Follower) answerUnusable(ctx context.Context, err error) {
	f.journal.Event("store answer unusable", "error", err.Error(), "revision", roster.Number(f.inbox.mirror.Revision()))
	f.failingSince = time.Time{}
	f.fetchAndBackOff(ctx)
}

// fetchAndBackOff fetches what peers have read, and pauses before the next read.
func (f *Follower) fetchAndBackOff(ctx context.Context) {
	if now := f.inbox.clock(); now.Sub(f.lastFetch) >= fetchInterval {
		f.lastFetch = now
		if batch, found := f.peers.FetchNewest(ctx, f.inbox.mirror.Revision()); found {
			f.inbox.Apply(batch)
		}
	}
	clock.Pause(ctx, f.backoff/2+time.Duration(rand.Float64()*float64(f.backoff/2)))
	f.backoff = min(2*f.backoff, maxBackoff)
}

func (f *Follower) readSucceeded() {
	f.backoff, f.failingSince = minBackoff, time.Time{}
	if !f.storeLost {
		return
	}
	f.storeLost = false
	f.journal.Event("store regained", "revision", roster.Number(f.inbox.mirror.Revision()))
	f.inbox.control.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithStoreRegained(now) })
}
