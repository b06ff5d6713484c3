// Package journal writes the log: one line of key=value pairs for each event and
// for each new change in the audit trail.
//
// Callers decide what to log; the package stores no events.
package journal

import (
	"bytes"
	"strconv"
	"strings"
	"unicode/utf8"

	"k8s.io/klog/v2"

	"hornbeamtray/core/trail"
)

// maxValueBytes bounds a quoted value of an event, so that a long one doesn't take the place of
// those after it: a line holds three such values and the short ones.
const maxValueBytes = 1 << 10

// Log writes the events of one process.
type Log struct {
	instance string
}

// New returns a Log that adds the instance's name to each line.
func New(instance string) Log {
	return Log{instance: instance}
}

// Event logs an event with alternating keys and values.
func (l Log) Event(event string, pairs ...any) {
	klog.InfoSDepth(1, event, l.arguments(pairs)...)
}

// Error logs err as an event that needs an operator's attention.
func (l Log) Error(err error, event string, pairs ...any) {
	klog.ErrorSDepth(1, quotedError{err}, event, l.arguments(pairs)...)
}

// Changes logs each change that after contains and before doesn't.
func (l Log) Changes(before, after trail.Trail) {
	for _, c := range after.Since(before) {
		klog.InfoSDepth(1, "change", l.arguments([]any{
			"sequence", c.Sequence, "subject", c.Subject,
			"cause", c.Cause, "before", c.Before, "after", c.After,
		})...)
	}
}

// arguments returns the instance and pairs of keys and values, with values that klog writes
// on one line.
func (l Log) arguments(pairs []any) []any {
	out := append([]any{"instance", l.instance}, pairs...)
	for i, value := range out {
		switch v := value.(type) {
		case string:
			if len(v) > maxValueBytes/4 || strings.Contains(v, "\n") { // a byte is quoted as four at most
				out[i] = quoted(v)
			}
		case error:
			out[i] = quotedError{v}
		}
	}
	return out
}

// quoted is a text that klog writes quoted, on one line, and cut at maxValueBytes. It writes
// other texts with line breaks as they are, over several lines, which a caller could make look
// like other events.
type quoted string

// WriteText writes the text. klog calls it.
func (q quoted) WriteText(b *bytes.Buffer) {
	b.WriteByte('"')
	var buffer [16]byte // one rune, quoted
	size := 0
	for text := string(q); text != ""; {
		_, width := utf8.DecodeRuneInString(text)
		escaped := strconv.AppendQuote(buffer[:0], text[:width])
		escaped = escaped[1 : len(escaped)-1]
		if size += len(escaped); size > maxValueBytes {
			b.WriteString("…")
			break
		}
		b.Write(escaped)
		text = text[width:]
	}
	b.WriteByte('"')
}

// quotedError is an error whose text klog writes quoted, on one line.
type quotedError struct{ error }

// WriteText writes the text of the error. klog calls it.
func (q quotedError) WriteText(b *bytes.Buffer) { quoted(q.Error()).WriteText(b) }
