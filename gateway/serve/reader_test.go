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
	maxUnreadBytes = 96 << 10 // the gateway may buffer this much for each caller: an answer up to the buffer limit, a read and an event
	readers        = 200
)

// endlessTargets answers every call with an endless body and counts the bytes that
// are read.
type endlessTargets struct {
	event string
	read  atomic.Int64
}

func (e *endlessTargets) Send(ctx context.Context, _ serve.Call) (serve.Reply, error) {
	return &endlessReply{ctx: ctx, source: e}, nil
}

// Ask reports the target as running.
func (e *endlessTargets) Ask(context.Context, string) serve.Sign {
	return serve.Sign{Reach: serve.Answered}
}

type endlessReply struct {
	ctx    context.Context
	source *endlessTargets
}

func (r *endlessReply) Head() serve.Head {
	return serve.Head{Status: 200, Signed: true, Length: -1}
}
func (r *endlessReply) Close()                             {}
func (r *endlessReply) Ask(ctx context.Context) serve.Sign { return r.source.Ask(ctx, "") }
func (r *endlessReply) Read(p []byte) (int, error) {
	if r.ctx.Err() != nil {
		return 0, r.ctx.Err()
	}
	n := copy(p, strings.Repeat(r.source.event, 1+len(p)/len(r.source.event))[:len(p)])
	r.source.read.Add(int64(n))
	return n, nil
}

// stuckCaller is a Writer that blocks until its caller disconnects.
type stuckCaller struct{ disconnected <-chan struct{} }

func (s stuckCaller) Begin(serve.Head) error { return nil }

func (s stuckCaller) Write([]byte) error {
	<-s.disconnected
	return context.Canceled
}

// TestSlowReaders checks that the gateway's memory is bounded while callers don't
// read: from an endless answer it reads at most maxUnreadBytes for each of them.
func TestSlowReaders(t *testing.T) {
	for _, path := range []string{"/stream/", "/again/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &endlessTargets{event: "id: 1\ndata: " + strings.Repeat("x", 500) + "\n\n"}
				target := roster.Target{ID: "wide", Service: "s", Domain: "d", Slots: readers, Revision: 9}
				state := newState().WithUpdate(dispatch.Update{Targets: []roster.Target{target}, ReadAt: time.Now()}, time.Now())
				service := serve.New(state, fake, discard{}, discard{})
				defer service.Close()
				ctx, cancel := context.WithCancel(t.Context())
				var serving sync.WaitGroup
				for i := range readers {
					serving.Go(func() {
						service.Serve(ctx, serve.Request{ID: fmt.Sprint(i), Host: "h", Path: path, Key: "k"}, stuckCaller{ctx.Done()})
					})
				}
				time.Sleep(300 * time.Millisecond)
				synctest.Wait()
				if perReader := fake.read.Load() / readers; perReader == 0 || perReader > maxUnreadBytes {
					t.Errorf("%d bytes were read per reader, want more than 0 and at most %d", perReader, maxUnreadBytes)
				}
				cancel()
				serving.Wait()
			})
		})
	}
}
