package journal

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"
)

const (
	maxLineBytes       = 4 << 10     // longer lines are cut
	cutMarkBytes       = 32          // room for the mark at the end of a line that was cut
	maxPendingLines    = 4096        // capacity of the queue; lines beyond it are dropped and counted
	maxPendingBytes    = 4 << 20     // of the lines in the queue, with the one that is being written; others are dropped and counted
	dropReportInterval = time.Second // minimum interval between reports of the dropped count
)

// Writer queues lines for an output and never blocks the caller of Write.
type Writer struct {
	tomb    tomb.Tomb
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64

	pendingBytes atomic.Int64 // of the lines in the queue and the one that is being written
}

// Redirect sends all log lines to out through a Writer, which the caller must close.
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
	w := &Writer{out: out, lines: make(chan []byte, maxPendingLines)}
	w.tomb.Go(w.run)
	return w
}

// Write queues a copy of the line, or drops and counts it if the queue is full. A line over
// maxLineBytes is cut.
func (w *Writer) Write(line []byte) (int, error) {
	queued := shorten(line)
	if w.pendingBytes.Add(int64(len(queued))) > maxPendingBytes {
		w.drop(queued)
		return len(line), nil
	}
	select {
	case w.lines <- queued:
	default:
		w.drop(queued)
	}
	return len(line), nil
}

// drop counts a line that is not queued.
func (w *Writer) drop(line []byte) {
	w.pendingBytes.Add(-int64(len(line)))
	w.dropped.Add(1)
}

// shorten returns a copy of a line, or its beginning with a mark that says how many bytes
// were cut.
func shorten(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return bytes.Clone(line)
	}
	text := bytes.TrimSuffix(line, []byte("\n"))
	kept := maxLineBytes - cutMarkBytes
	for kept > 0 && !utf8.RuneStart(text[kept]) {
		kept--
	}
	return fmt.Appendf(append(make([]byte, 0, maxLineBytes), text[:kept]...), "… cut=%d\n", len(text)-kept)
}

// Dropped returns the number of lines dropped so far because the queue was full or
// a write failed.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() error {
	klog.Flush()
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

func (w *Writer) run() error {
	ctx := w.tomb.Context(context.Background())
	reported := int64(0)
	var lastReport time.Time
	for {
		select {
		case line := <-w.lines:
			if w.output(line) != nil {
				w.dropped.Add(1)
			}
		case <-ctx.Done():
			w.writePending()
			return nil
		}
		if dropped := w.dropped.Load(); dropped > reported && time.Since(lastReport) > dropReportInterval {
			fmt.Fprintf(w.out, "W lines dropped=%d\n", dropped)
			reported, lastReport = dropped, time.Now()
		}
	}
}

// writePending writes the queued lines until the queue is empty or a write fails.
func (w *Writer) writePending() {
	for {
		select {
		case line := <-w.lines:
			if w.output(line) != nil {
				return
			}
		default:
			return
		}
	}
}

// output writes a line of the queue.
func (w *Writer) output(line []byte) error {
	_, err := w.out.Write(line)
	w.pendingBytes.Add(-int64(len(line)))
	return err
}
