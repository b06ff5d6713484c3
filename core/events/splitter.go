// Package events splits a stream of numbered events (the text/event-stream
// format) into whole events, so that an answer that breaks off is continued
// after the last whole one.
package events

import (
	"bytes"
	"strings"
)

// Splitter collects the bytes of one run of a stream. The zero value has none.
type Splitter struct {
	partial []byte
	lastID  string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// Split adds bytes and returns the whole events that they complete, empty where
// there are none. What it returns is good until the next call.
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

// LastID returns the number of the last whole event, empty before the first.
func (s *Splitter) LastID() string { return s.lastID }

// Partial reports whether bytes of an event came that is not whole.
func (s *Splitter) Partial() bool { return len(s.partial) > 0 }

// recordLastID keeps the number of the last event in text.
func (s *Splitter) recordLastID(events []byte) {
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, idField); found {
			s.lastID = strings.TrimSpace(string(value))
		}
	}
}
