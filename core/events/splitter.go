// Package events splits a stream in the text/event-stream format into complete
// events, so that an interrupted answer can be resumed after the last of them.
package events

import (
	"bytes"
	"strings"
)

// Splitter collects the bytes of a stream as one run of the request sends them;
// each run needs its own Splitter. The zero value is ready to use.
type Splitter struct {
	partial []byte
	lastID  string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// Split appends p and returns the events that are now complete, or nil if there
// are none. The caller owns the result.
func (s *Splitter) Split(p []byte) []byte {
	s.partial = append(s.partial, p...)
	n := bytes.LastIndex(s.partial, eventEnd)
	if n < 0 {
		return nil
	}
	whole := bytes.Clone(s.partial[:n+len(eventEnd)])
	s.partial = append(s.partial[:0], s.partial[n+len(eventEnd):]...)
	s.recordLastID(whole)
	return whole
}

// LastID returns the ID of the last complete event that has one, or "" if there
// is none.
func (s *Splitter) LastID() string { return s.lastID }

// Partial reports whether the splitter holds an incomplete event.
func (s *Splitter) Partial() bool { return len(s.partial) > 0 }

// recordLastID stores the last event ID found in events.
func (s *Splitter) recordLastID(events []byte) {
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, idField); found {
			s.lastID = strings.TrimSpace(string(value))
		}
	}
}
