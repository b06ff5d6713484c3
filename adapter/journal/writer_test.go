package journal

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output whose Write blocks until unblocked is closed.
type blockedOutput struct {
	unblocked chan struct{}
	mu        sync.Mutex
	text      strings.Builder // guarded by mu
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.unblocked
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{unblocked: make(chan struct{})}
	w := newWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 2 * maxPendingLines {
			fmt.Fprintf(w, "line %d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked while the output was blocked")
	}
	if w.Dropped() < maxPendingLines-1 {
		t.Errorf("%d lines were dropped, want about %d", w.Dropped(), maxPendingLines)
	}
	close(out.unblocked)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if text := out.text.String(); !strings.HasPrefix(text, "line 0\n") || !strings.Contains(text, "dropped=") {
		t.Error("the output lacks the queued lines or the count of dropped lines")
	}
}
