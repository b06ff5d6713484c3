package journal

import (
	"errors"
	"strings"
	"testing"
	"time"

	"hornbeamtray/core/trail"
)

// logged returns what write makes the log output.
func logged(t *testing.T, write func(Log)) string {
	t.Helper()
	out := &blockedOutput{unblocked: make(chan struct{})}
	close(out.unblocked)
	lines := Redirect(out)
	write(New("g-1"))
	if err := lines.Close(); err != nil {
		t.Fatal(err)
	}
	return out.text.String()
}

// TestForgedLines guards against text of callers or targets that looks like lines of the
// log, or that changes how a terminal shows them.
func TestForgedLines(t *testing.T) {
	const forged = "x\nI0101 00:00:00.000000 1 service.go:1] \"stopped\" instance=\"g-1\"\r\n\x1b[2J\x00\x7f"
	change := trail.Trail{}.With(time.Unix(0, 0), forged, forged, forged, forged)
	tests := []struct {
		name  string
		write func(Log)
	}{
		{"a text", func(l Log) { l.Event("refused", "path", forged, "version", 7) }},
		{"an error", func(l Log) { l.Event("attempt failed", "error", errors.New(forged), "version", 7) }},
		{"the error of an event", func(l Log) { l.Error(errors.New(forged), "settings unreadable", "version", 7) }},
		{"a change", func(l Log) { l.Changes(trail.Trail{}, change) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := logged(t, tt.write)
			if strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, "\n") || strings.ContainsAny(got, "\r\x1b\x00\x7f") {
				t.Errorf("the log has %q, want one line without control bytes", got)
			}
			if !strings.Contains(got, `x\nI0101`) || !strings.Contains(got, `\x1b[2J\x00\x7f`) {
				t.Errorf("the log has %q, want the text in it escaped", got)
			}
		})
	}
}

// TestLongValues guards against a long text of a caller that hides the rest of an event,
// since a long line is cut at its end.
func TestLongValues(t *testing.T) {
	tests := []struct {
		name, value string
		want        string // the value in the log
	}{
		{"as long as allowed", strings.Repeat("x", maxValueBytes), `"` + strings.Repeat("x", maxValueBytes) + `"`},
		{"one byte longer", strings.Repeat("x", maxValueBytes+1), `"` + strings.Repeat("x", maxValueBytes) + `…"`},
		{"far longer", strings.Repeat("x", 64<<10), `"` + strings.Repeat("x", maxValueBytes) + `…"`},
		{"escaped bytes", strings.Repeat("\xff", 64<<10), `"` + strings.Repeat(`\xff`, maxValueBytes/4) + `…"`},
		{"escaped line breaks", strings.Repeat("\n", 64<<10), `"` + strings.Repeat(`\n`, maxValueBytes/2) + `…"`},
		{"runes of several bytes", "x" + strings.Repeat("é", maxValueBytes), `"x` + strings.Repeat("é", maxValueBytes/2-1) + `…"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := logged(t, func(l Log) {
				l.Event("refused", "request", tt.value, "path", tt.value, "error", errors.New(tt.value), "version", 7)
			})
			if !strings.HasSuffix(got, " request="+tt.want+" path="+tt.want+" error="+tt.want+" version=7\n") {
				t.Errorf("the log has %.100q… of %d bytes, want each value as %.20s… of %d bytes", got, len(got), tt.want, len(tt.want))
			}
		})
	}
}
