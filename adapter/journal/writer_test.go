package journal

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is an output that takes nothing until it is opened.
type stuck struct {
	opened chan struct{}
	mu     sync.Mutex
	text   strings.Builder // guarded by mu
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.opened
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestWriterNeverBlocks(t *testing.T) {
	out := &stuck{opened: make(chan struct{})}
	w := newWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 2 * waitingLines {
			fmt.Fprintf(w, "line %d\n", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing lines blocked on the output")
	}
	if w.Dropped() < waitingLines-1 {
		t.Errorf("%d lines were dropped, want about %d", w.Dropped(), waitingLines)
	}
	close(out.opened)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if text := out.text.String(); !strings.HasPrefix(text, "line 0\n") || !strings.Contains(text, "dropped=") {
		t.Error("the lines that waited or the count of dropped ones are missing")
	}
}
