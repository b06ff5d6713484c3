// Package journal writes the log: one line of key=value pairs for each event and
// for each new change in the audit trail.
//
// Callers decide what to log; the package stores no events.
package journal

import (
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
	klog.InfoSDepth(1, event, append([]any{"instance", l.instance}, pairs...)...)
}

// Error logs err as an event that needs an operator's attention.
func (l Log) Error(err error, event string, pairs ...any) {
	klog.ErrorSDepth(1, err, event, append([]any{"instance", l.instance}, pairs...)...)
}

// Changes logs each change that after contains and before doesn't.
func (l Log) Changes(before, after trail.Trail) {
	for _, c := range after.Since(before) {
		klog.InfoSDepth(1, "change", "instance", l.instance, "sequence", c.Sequence, "subject", c.Subject,
			"cause", c.Cause, "before", c.Before, "after", c.After)
	}
}
