package events_test

import (
	"bytes"
	"slices"
	"testing"

	"hornbeamtray/core/events"
)

// split splits a text that arrives in parts of a size.
func split(text []byte, size int) (events.Splitter, []byte) {
	var s events.Splitter
	var complete []byte
	for part := range slices.Chunk(text, size) {
		complete = append(complete, s.Split(part)...)
	}
	return s, complete
}

// FuzzSplitter splits arbitrary streams. What is found in a stream doesn't depend on the parts
// in which it arrives, and nothing of it is lost or changed.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\ndata"), 1)
	f.Add([]byte("id:7\ndata: x\n\n\n"), 13)
	f.Add([]byte("\n\n\n\n: ping\n\nid:\n\n"), 3)
	f.Add([]byte("id: 1\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		if size < 1 || len(text) == 0 {
			return
		}
		whole, complete := split(text, len(text))
		parts, completeParts := split(text, size)
		for _, c := range [][]byte{complete, completeParts} {
			if !bytes.HasPrefix(text, c) || len(c) > 0 && !bytes.HasSuffix(c, []byte("\n\n")) || bytes.Contains(bytes.TrimLeft(text[len(c):], "\n"), []byte("\n\n")) {
				t.Errorf("complete events of %q are %q", text, c)
			}
		}
		if whole.Partial() != parts.Partial() || whole.LastID() != parts.LastID() || whole.Events() != parts.Events() {
			t.Errorf("%q: partial: %t, last ID %q, %d events; in parts of %d bytes: %t, %q, %d", text,
				whole.Partial(), whole.LastID(), whole.Events(), size, parts.Partial(), parts.LastID(), parts.Events())
		}
	})
}
