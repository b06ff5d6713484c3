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
	rest []byte
	last string
}

var (
	end = []byte("\n\n")
	id  = []byte("id:")
)

// Take adds bytes and returns the whole events that they complete, empty where
// there are none. What it returns is good until the next call.
func (s *Splitter) Take(p []byte) []byte {
	s.rest = append(s.rest, p...)
	n := bytes.LastIndex(s.rest, end)
	if n < 0 {
		return nil
	}
	whole := bytes.Clone(s.rest[:n+len(end)])
	s.rest = append(s.rest[:0], s.rest[n+len(end):]...)
	s.note(whole)
	return whole
}

// Last returns the number of the last whole event, empty before the first.
func (s *Splitter) Last() string { return s.last }

// Partial reports whether bytes of an event came that is not whole.
func (s *Splitter) Partial() bool { return len(s.rest) > 0 }

// note keeps the number of the last event in text.
func (s *Splitter) note(text []byte) {
	for line := range bytes.Lines(text) {
		if value, found := bytes.CutPrefix(line, id); found {
			s.last = strings.TrimSpace(string(value))
		}
	}
}
