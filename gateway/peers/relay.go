package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"hornbeamtray/core/roster"
	"hornbeamtray/gateway/follow"
)

// relayRequest requests the changes after a revision.
type relayRequest struct {
	After uint64 `json:"after"`
}

// relayResponse holds the changes that a gateway has in its mirror.
type relayResponse struct {
	Listed   bool          `json:"complete"`
	Items    []item        `json:"items"`
	Revision uint64        `json:"revision"`
	SyncAge  time.Duration `json:"age"`             // since the sync time of the mirror
	Whole    bool          `json:"whole,omitempty"` // Items holds everything that exists
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`  // compressed if Length is set
	Length   int    `json:"length,omitempty"` // uncompressed, in bytes; 0 if not compressed
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
	Lost     bool   `json:"lost,omitempty"`    // the store lacks it since it came back from an older copy
	Version  uint64 `json:"version,omitempty"` // of a value that has one
}

// syncFrom brings the mirror up to date after a peer's report. If the peer has
// the same revision and a later sync time, it takes over the sync time; if the
// peer is ahead, it fetches the changes. The peer's sync time is computed from
// sentAt, when the report was requested, so that it is never too late. A peer that
// is behind may still hold a later version of a value, which the store has lost.
func (p *Peers) syncFrom(address string, r report, sentAt time.Time) {
	revision, syncedAt, _ := p.inbox.Mirror().SyncState()
	peerSyncedAt := sentAt.Add(-r.SyncAge)
	laterEra := roster.Era(r.Revision) > roster.Era(revision)
	ahead := r.Listed && (laterEra || r.Revision >= revision && peerSyncedAt.After(syncedAt))
	switch {
	case ahead && r.Revision != revision:
		p.fetchAndApply(address, p.inbox.Mirror().Revision(), func(b follow.Batch) follow.Batch {
			p.clearBehind()
			return b
		})
	case r.Listed && r.Version > p.inbox.Mirror().Version():
		p.fetchAndApply(address, 0, follow.Batch.Versioned)
	case ahead:
		p.inbox.Apply(follow.Batch{Revision: revision, ReadAt: peerSyncedAt})
		p.clearBehind()
	}
}

// fetchAndApply fetches the changes after a revision from a peer and applies what selected
// returns of them, unless another fetch is in progress.
func (p *Peers) fetchAndApply(address string, after uint64, selected func(follow.Batch) follow.Batch) {
	if !p.fetching.TryLock() {
		return
	}
	defer p.fetching.Unlock()
	ctx, cancel := context.WithTimeout(p.tomb.Context(context.Background()), relayTimeout)
	defer cancel()
	if batch, found := p.fetchFrom(ctx, address, after); found {
		p.inbox.Apply(selected(batch))
	}
}

// clearBehind records that the gateway has caught up with a peer.
func (p *Peers) clearBehind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behindSince = time.Time{}
}

func (p *Peers) handleRelay(_ context.Context, read func(any) error) (any, error) {
	var request relayRequest
	if err := read(&request); err != nil {
		return nil, err
	}
	batch, listed := p.inbox.Mirror().Since(request.After)
	response := relayResponse{Listed: listed, Revision: batch.Revision, SyncAge: p.clock().Sub(batch.ReadAt), Whole: batch.Complete}
	for _, it := range batch.Items {
		encoded, err := p.compressor.encode(it)
		if err != nil {
			return nil, err
		}
		response.Items = append(response.Items, encoded)
	}
	return response, nil
}

// FetchNewest returns the changes after a revision from the peer with the
// latest sync time, of those that know the latest era of the store, or false if no peer could supply them.
func (p *Peers) FetchNewest(ctx context.Context, after uint64) (follow.Batch, bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	batches := make(chan follow.Batch)
	addresses := p.addresses()
	for _, address := range addresses {
		p.tomb.Go(fetch{peers: p, ctx: ctx, address: address, after: after, batches: batches}.run)
	}
	var best follow.Batch
	for range addresses {
		if batch := <-batches; batch.LaterThan(best) {
			best = batch
		}
	}
	return best, !best.ReadAt.IsZero()
}

// fetch is a request to one peer. It always sends one batch, which is empty if
// the peer could not supply the changes.
type fetch struct {
	peers   *Peers
	ctx     context.Context
	address string
	after   uint64
	batches chan<- follow.Batch
}

func (f fetch) run() error {
	batch, _ := f.peers.fetchFrom(f.ctx, f.address, f.after)
	f.batches <- batch
	return nil
}

// FetchVersions returns the values that have a version from the peer that holds the highest
// one, or false if no peer that responds holds one above the given version. It asks up to
// tickFanout peers, drawn at random: all that were up to date hold the highest version.
func (p *Peers) FetchVersions(ctx context.Context, above uint64) (follow.Batch, bool) {
	addresses := p.addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), tickFanout)]
	askCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	holders := make(chan versionHolder)
	own := p.newReport(false, false)
	for _, address := range addresses {
		p.tomb.Go(versionQuestion{peers: p, ctx: askCtx, address: address, report: own, holders: holders}.run)
	}
	best := versionHolder{version: above}
	for range addresses {
		if h := <-holders; h.version > best.version {
			best = h
		}
	}
	if best.address == "" {
		return follow.Batch{}, false
	}
	ctx, cancelFetch := context.WithTimeout(ctx, relayTimeout)
	defer cancelFetch()
	batch, found := p.fetchFrom(ctx, best.address, 0)
	return batch.Versioned(), found
}

// versionHolder is a peer and the highest version of a value that it holds.
type versionHolder struct {
	address string
	version uint64
}

// versionQuestion asks one peer for the highest version that it holds. It always sends one
// holder, which is zero if the peer did not respond.
type versionQuestion struct {
	peers   *Peers
	ctx     context.Context
	address string
	report  report
	holders chan<- versionHolder
}

func (q versionQuestion) run() error {
	var response report
	if q.peers.client.Call(q.ctx, q.address, reportCall, q.report, &response) != nil || !response.Listed {
		q.holders <- versionHolder{}
		return nil
	}
	q.holders <- versionHolder{address: q.address, version: response.Version}
	return nil
}

// fetchFrom requests the changes after a revision from one peer. It returns
// false if the call failed, or if the peer has never listed everything. ReadAt
// is computed from the time of the request, so that it is never too late. If the
// peer knows a later era of the store, the batch holds all that exists in it.
func (p *Peers) fetchFrom(ctx context.Context, address string, after uint64) (follow.Batch, bool) {
	sentAt := p.clock()
	var response relayResponse
	if err := p.client.Call(ctx, address, relayCall, relayRequest{After: after}, &response); err != nil || !response.Listed {
		return follow.Batch{}, false // another peer or the store may supply the changes
	}
	batch := follow.Batch{Revision: response.Revision, ReadAt: sentAt.Add(-response.SyncAge)}
	batch.Complete = response.Whole || after != 0 && roster.Era(response.Revision) > roster.Era(after)
	for _, it := range response.Items {
		decoded, err := decode(it)
		if err != nil {
			return follow.Batch{}, false // handled like a failed call
		}
		batch.Items = append(batch.Items, decoded)
	}
	return batch, true
}
