// Package journal writes the log: one line of key=value pairs for each event and
// for each new change in the audit trail.
//
// Callers decide what to log; the package stores no events.
package journal

import (
	"bytes"
	"strconv"
	"strings"

	"k8s.io/klog/v2"

	"hornbeamtray/core/trail"
)

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
			if strings.Contains(v, "\n") {
				out[i] = quoted(v)
			}
		case error:
			out[i] = quotedError{v}
		}
	}
	return out
}

// quoted is a text that klog writes quoted, on one line. It writes other texts with line
// breaks as they are, over several lines, which a caller could make look like other events.
type quoted string

// WriteText writes the text. klog calls it.
func (q quoted) WriteText(b *bytes.Buffer) { b.WriteString(strconv.Quote(string(q))) }

// quotedError is an error whose text klog writes quoted, on one line.
type quotedError struct{ error }

// WriteText writes the text of the error. klog calls it.
func (q quotedError) WriteText(b *bytes.Buffer) { quoted(q.Error()).WriteText(b) }
