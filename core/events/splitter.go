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
	events  int
	lastID  string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// maxEventBytes is the size from which an incomplete event is oversized. Events of
// model engines have some hundred bytes.
const maxEventBytes = 1 << 20

// Split appends p and returns the events that are now complete, or nil if there
// are none. The caller owns the result.
func (s *Splitter) Split(p []byte) []byte {
	searched := max(0, len(s.partial)-len(eventEnd)+1) // the partial event holds no event end
	s.partial = append(s.partial, p...)
	n := bytes.LastIndex(s.partial[searched:], eventEnd)
	if n < 0 {
		return nil
	}
	n += searched
	whole := bytes.Clone(s.partial[:n+len(eventEnd)])
	s.partial = append(s.partial[:0], s.partial[n+len(eventEnd):]...)
	s.record(whole)
	return whole
}

// Events returns the number of complete events.
func (s *Splitter) Events() int { return s.events }

// LastID returns the ID of the last complete event that has one, or "" if there
// is none.
func (s *Splitter) LastID() string { return s.lastID }

// Partial reports whether the splitter holds an incomplete event. Blank lines after an event
// are none.
func (s *Splitter) Partial() bool { return len(bytes.TrimLeft(s.partial, "\n")) > 0 }

// Oversized reports whether the incomplete event is larger than maxEventBytes.
func (s *Splitter) Oversized() bool { return len(s.partial) > maxEventBytes }

// record counts complete events and stores the last ID found in them. Blank lines without
// an event before them count as none.
func (s *Splitter) record(events []byte) {
	for event := range bytes.SplitSeq(events, eventEnd) {
		if len(bytes.TrimLeft(event, "\n")) > 0 {
			s.events++
		}
	}
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, idField); found {
			s.lastID = strings.TrimSpace(string(value))
		}
	}
}
