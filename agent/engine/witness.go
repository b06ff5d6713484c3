package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/upstream"
)

const (
	witnessTimeout  = 50 * time.Millisecond  // for opening a witness; the target is on the same instance
	witnessInterval = 100 * time.Millisecond // from the end of a witness to the next, so that a process that ended has closed the call, too
	closeWait       = 20 * time.Millisecond  // by then all connections of a process that ended are closed
)

// witnessKey is the key of a call's *witness in the context of its request.
type witnessKey struct{}

// witness is an idle connection beside that of a call, which leads to the same process. It ends
// with that process, so it shows whether the process still runs when an unframed answer has ended;
// that another process listens at the address does not.
//
// The witness is opened before the call is sent. If the target closes it, another one is opened
// while the connection of the call is open.
type witness struct {
	tomb tomb.Tomb
	dial func(ctx context.Context) (net.Conn, error) // set before run

	mu     sync.Mutex
	call   net.Conn // guarded by mu; the connection of the call
	conn   net.Conn // guarded by mu; nil while there is no witness
	closed bool     // guarded by mu
}

// open opens the witness beside the connection of the call with dial.
func (w *witness) open(call net.Conn, dial func(ctx context.Context) (net.Conn, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	conn, err := dial(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed { // the call was canceled meanwhile
		if err == nil {
			_ = conn.Close()
		}
		return
	}
	w.call, w.dial = call, dial
	if err == nil {
		w.conn = conn
	}
	w.tomb.Go(w.run)
}

// run replaces the witness when it ends, until the connection of the call ends.
func (w *witness) run() error {
	for {
		w.await()
		select {
		case <-time.After(witnessInterval):
		case <-w.tomb.Dying():
			return nil
		}
		if !w.replace() {
			return nil
		}
	}
}

// await waits for the end of the witness.
func (w *witness) await() {
	w.mu.Lock()
	conn := w.conn
	w.mu.Unlock()
	if conn == nil {
		return
	}
	_, _ = conn.Read(make([]byte, 1)) // a target sends nothing without a request
	_ = conn.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = nil
}

// replace opens another witness. It reports whether the connection of the call is still open,
// without which nothing shows that both lead to one process.
func (w *witness) replace() bool {
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), witnessTimeout)
	defer cancel()
	conn, err := w.dial(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	open := !w.closed && upstream.NewConn(w.call).Established()
	switch {
	case err != nil:
		return open
	case !open:
		_ = conn.Close()
		return false
	}
	w.conn = conn
	return true
}

// stands reports whether the process that got the call still runs.
func (w *witness) stands() bool {
	time.Sleep(closeWait)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn != nil
}

// Close closes the witness and waits until it has ended.
func (w *witness) Close() {
	w.mu.Lock()
	w.closed = true
	if w.conn != nil {
		_ = w.conn.Close()
	}
	started := w.call != nil
	w.mu.Unlock()
	w.tomb.Kill(nil)
	if started {
		_ = w.tomb.Wait()
	}
}
