package journal

import (
	"context"
	"flag"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"
)

const (
	waitingLines = 4096        // lines that wait to be written; more are dropped and counted
	dropReport   = time.Second // between lines that tell how many were dropped
)

// Writer passes lines on without ever blocking whoever writes them.
type Writer struct {
	tomb    tomb.Tomb
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// Redirect has all log lines go to out through a Writer, which the caller closes.
func Redirect(out io.Writer) *Writer {
	w := newWriter(out)
	flags := flag.NewFlagSet("logs", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	_ = flags.Set("one_output", "true")
	klog.SetOutput(w)
	return w
}

func newWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, waitingLines)}
	w.tomb.Go(w.run)
	return w
}

// Write takes one line, or counts it where too many wait.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and stops.
func (w *Writer) Close() error {
	klog.Flush()
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

func (w *Writer) run() error {
	ctx := w.tomb.Context(context.Background())
	told := int64(0)
	var last time.Time
	for {
		select {
		case line := <-w.lines:
			if _, err := w.out.Write(line); err != nil {
				w.dropped.Add(1)
			}
		case <-ctx.Done():
			w.rest()
			return nil
		}
		if dropped := w.dropped.Load(); dropped > told && time.Since(last) > dropReport {
			fmt.Fprintf(w.out, "W lines dropped=%d\n", dropped)
			told, last = dropped, time.Now()
		}
	}
}

// rest writes the lines that wait.
func (w *Writer) rest() {
	for {
		select {
		case line := <-w.lines:
			if _, err := w.out.Write(line); err != nil {
				return
			}
		default:
			return
		}
	}
}
