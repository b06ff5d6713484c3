package serve_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
	"hornbeamtray/gateway/serve"
)

const (
	mostUnread = 96 << 10 // bytes that a gateway may hold for one reader: a held piece, a read and an event
	readers    = 200
)

// endless answers every call with a body that never ends, and counts what is
// read of it.
type endless struct {
	event string
	read  atomic.Int64
}

func (e *endless) Send(ctx context.Context, _ serve.Call) (serve.Reply, error) {
	return &endlessReply{ctx: ctx, source: e}, nil
}

type endlessReply struct {
	ctx    context.Context
	source *endless
}

func (r *endlessReply) Head() serve.Head {
	return serve.Head{Status: 200, Signed: true, Length: -1}
}
func (r *endlessReply) Close() {}
func (r *endlessReply) Read(p []byte) (int, error) {
	if r.ctx.Err() != nil {
		return 0, r.ctx.Err()
	}
	n := copy(p, strings.Repeat(r.source.event, 1+len(p)/len(r.source.event))[:len(p)])
	r.source.read.Add(int64(n))
	return n, nil
}

// stuck is a reader that takes nothing until it leaves.
type stuck struct{ leaves <-chan struct{} }

func (s stuck) Begin(serve.Head) error { return nil }

func (s stuck) Write([]byte) error {
	<-s.leaves
	return context.Canceled
}

// TestReadersTakeNothing has many callers that take nothing of answers that
// never end: no more is read for each of them than may be held.
func TestReadersTakeNothing(t *testing.T) {
	for _, path := range []string{"/stream/", "/again/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &endless{event: "id: 1\ndata: " + strings.Repeat("x", 500) + "\n\n"}
				wide := roster.Target{ID: "wide", Service: "s", Domain: "d", Slots: readers, Revision: 9}
				state := newState().WithUpdate(dispatch.Update{Targets: []roster.Target{wide}, ReadAt: time.Now()}, time.Now())
				service := serve.New(state, fake, quiet{}, quiet{})
				defer service.Close()
				ctx, cancel := context.WithCancel(t.Context())
				var serving sync.WaitGroup
				for i := range readers {
					serving.Go(func() {
						service.Serve(ctx, serve.Request{ID: fmt.Sprint(i), Host: "h", Path: path, Key: "k"}, stuck{ctx.Done()})
					})
				}
				time.Sleep(300 * time.Millisecond)
				synctest.Wait()
				if each := fake.read.Load() / readers; each == 0 || each > mostUnread {
					t.Errorf("%d bytes were read for each reader, want at most %d", each, mostUnread)
				}
				cancel()
				serving.Wait()
			})
		})
	}
}
