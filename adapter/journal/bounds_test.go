package journal

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestLongLines guards against a line that takes as much memory as the text of a caller in
// it: it is cut, and says so.
func TestLongLines(t *testing.T) {
	tests := []struct {
		name, line string
		cut        string // mark at the end of the line; empty if the line is whole
	}{
		{"short", "I a line\n", ""},
		{"as long as allowed", strings.Repeat("x", maxLineBytes-1) + "\n", ""},
		{"one byte longer", strings.Repeat("x", maxLineBytes) + "\n", "… cut=32\n"},
		{"far longer", strings.Repeat("x", 1<<20) + "\n", "… cut=1044512\n"},
		{"runes of several bytes", "x" + strings.Repeat("é", maxLineBytes) + "\n", "… cut=4130\n"},
		{"no line break", strings.Repeat("x", maxLineBytes+100), "… cut=132\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out := &blockedOutput{unblocked: make(chan struct{})}
			close(out.unblocked)
			w := newWriter(out)
			if n, err := w.Write([]byte(tt.line)); n != len(tt.line) || err != nil {
				t.Errorf("Write returned %d, %v, want %d", n, err, len(tt.line))
			}
			if err := w.Close(); err != nil {
				t.Fatal(err)
			}
			got := out.text.String()
			if tt.cut == "" && got != tt.line {
				t.Errorf("the line became %.40q… of %d bytes", got, len(got))
			}
			if tt.cut != "" && (len(got) > maxLineBytes || !strings.HasSuffix(got, tt.cut) || !utf8.ValidString(got) || !strings.HasPrefix(tt.line, strings.TrimSuffix(got, tt.cut))) {
				t.Errorf("the line has %d bytes and ends with %q, want at most %d and the end %q", len(got), got[max(0, len(got)-20):], maxLineBytes, tt.cut)
			}
		})
	}
}

// TestQueueBytes guards against a queue of long lines that takes the memory of the process
// while the output is slow.
func TestQueueBytes(t *testing.T) {
	tests := []struct {
		name     string
		bytes    int // of each line
		minLines int // that the queue holds
	}{
		{"long lines", maxLineBytes, 1000},
		{"lines over the limit", 64 << 10, 1000},
		{"usual lines", 400, maxPendingLines},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out := &blockedOutput{unblocked: make(chan struct{})}
			w := newWriter(out)
			line := []byte(strings.Repeat("x", tt.bytes-1) + "\n")
			before := heapBytes()
			const lines = 2 * maxPendingLines
			for range lines {
				_, _ = w.Write(line)
			}
			if taken := heapBytes() - before; taken > maxPendingBytes+maxPendingBytes/4 {
				t.Errorf("the queue took %d bytes, want about %d at most", taken, maxPendingBytes)
			}
			dropped := int(w.Dropped())
			if kept := lines - dropped; kept < tt.minLines || kept > maxPendingLines+1 {
				t.Errorf("%d lines were kept, want %d to %d", kept, tt.minLines, maxPendingLines+1)
			}
			close(out.unblocked)
			if err := w.Close(); err != nil {
				t.Fatal(err)
			}
			if got := strings.Count(out.text.String(), "x\n") + strings.Count(out.text.String(), "… cut="); got != lines-dropped {
				t.Errorf("%d lines were written, want the %d that were not dropped", got, lines-dropped)
			}
			if n := w.pendingBytes.Load(); n != 0 {
				t.Errorf("%d bytes count as queued after all lines were written", n)
			}
			if w := fmt.Sprint("dropped=", dropped); !strings.Contains(out.text.String(), w) {
				t.Errorf("the output doesn't say %s", w)
			}
		})
	}
}

// heapBytes returns the memory of live objects.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
