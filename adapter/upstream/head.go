package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed is wrapped by the errors of reading bytes that are not an HTTP response.
var ErrMalformed = errors.New("the bytes are not an HTTP response")

const (
	protocol     = "HTTP/1."           // any response of version 1 can be read
	encoding     = "transfer-encoding" // the field, in lower case
	statusColumn = len(protocol) + len("1 ")
	reasonColumn = statusColumn + len("200")
)

// headPart is a part of the head of a response.
type headPart int

const (
	statusLine headPart = iota
	lineStart           // the begin of a line after the status line
	fieldName
	fieldValue
	headEnd
)

// HeadScanner checks the head of a response as its bytes arrive, however they are split.
// net/http accepts heads that are no responses, such as those with status 000, and others whose
// fields or length it does not see: it ignores a field whose name ends with a blank, and takes
// one that begins with a blank for a part of the field before.
// The zero value is at the begin of a head.
type HeadScanner struct {
	part   headPart
	column int  // of the next byte in the status line or in the name of a field
	minor  byte // the digit of the version after the dot
	status int
	cr     bool // the previous byte is a carriage return
	other  bool // the current field is not the encoding
	lines  int
}

// Scan checks the next bytes of the head. It returns how many of them belong to it: less than
// len(p) if the head ends before, or if it wraps ErrMalformed in an error since the next byte
// can't be a part of a head.
func (h *HeadScanner) Scan(p []byte) (int, error) {
	for n, b := range p {
		if h.part == headEnd {
			return n, nil
		}
		if err := h.next(b); err != nil {
			return n, err
		}
	}
	return len(p), nil
}

// Done reports whether the whole head was scanned.
func (h *HeadScanner) Done() bool { return h.part == headEnd }

// Lines returns the number of complete lines, without the empty one that ends the head.
func (h *HeadScanner) Lines() int { return h.lines }

// Interim reports whether another head follows, since this one is of an interim response.
func (h *HeadScanner) Interim() bool { return !IsFinal(h.status) }

// next checks the next byte of the head.
func (h *HeadScanner) next(b byte) error {
	switch {
	case b == '\n':
		h.cr = false
		return h.endLine()
	case h.cr:
		return malformed("a carriage return within a line")
	case b == '\r':
		h.cr = true
		return nil
	case h.part == statusLine:
		return h.nextOfStatusLine(b)
	case h.part == fieldValue && isControl(b):
		return malformed("a control byte in a field")
	case h.part == fieldValue:
		return nil
	case h.part == fieldName && b == ':':
		return h.endName()
	case !isToken(b):
		return malformed(fmt.Sprintf("byte %#02x in the name of a field", b))
	}
	if h.part == lineStart {
		h.part, h.column, h.other = fieldName, 0, false
	}
	h.other = h.other || h.column >= len(encoding) || b|0x20 != encoding[h.column]
	h.column++
	return nil
}

// endName ends the name of the current field. HTTP/1.0 has no encodings, so that a body with one
// has no known end.
func (h *HeadScanner) endName() error {
	if h.minor == '0' && !h.other && h.column == len(encoding) {
		return malformed("an encoding that HTTP/1.0 lacks")
	}
	h.part = fieldValue
	return nil
}

// nextOfStatusLine checks the next byte of the status line, before its end.
func (h *HeadScanner) nextOfStatusLine(b byte) error {
	column := h.column
	h.column++
	switch {
	case column < len(protocol) && b != protocol[column], column == len(protocol) && !isDigit(b):
		return malformed("another protocol")
	case column == statusColumn-1 && b != ' ', column == reasonColumn && b != ' ':
		return malformed("no blank around the status")
	case column == len(protocol):
		h.minor = b
	case column >= statusColumn && column < reasonColumn:
		if !isDigit(b) {
			return malformed("a status that is not a number")
		}
		h.status = 10*h.status + int(b-'0')
		if column == reasonColumn-1 && !isInterim(h.status) && !IsFinal(h.status) {
			return malformed(fmt.Sprintf("status %03d", h.status))
		}
	case isControl(b):
		return malformed("a control byte in the status line")
	}
	return nil
}

// endLine ends the current line.
func (h *HeadScanner) endLine() error {
	switch {
	case h.part == statusLine && h.column < reasonColumn:
		return malformed("no status")
	case h.part == fieldName:
		return malformed("a line that is no field")
	case h.part == lineStart:
		h.part = headEnd
		return nil
	}
	h.part = lineStart
	h.lines++
	return nil
}

// IsFinal reports whether a response with this status answers a request.
func IsFinal(status int) bool { return status >= 200 && status <= 599 }

// isInterim reports whether a response with this status precedes another. One with status 101
// does not, and no request asks for another protocol.
func isInterim(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// malformed returns an error that wraps ErrMalformed.
func malformed(found string) error { return fmt.Errorf("%w: they have %s", ErrMalformed, found) }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isToken reports whether b may be a part of the name of a field.
func isToken(b byte) bool {
	letter := b | 0x20 // in lower case
	return isDigit(b) || letter >= 'a' && letter <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isControl reports whether b is a control byte other than a tab.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }
