package pool

import (
	"errors"
	"io"
)

// ErrTooManyBytes is the error of reads beyond the limit that Conn.LimitReads set.
var ErrTooManyBytes = errors.New("the target sent more bytes than its answer may have here")

// ErrTooManyLines is the error of reads of a head with more lines than Conn.LimitReads allows.
var ErrTooManyLines = errors.New("the target sent more lines than the head of its answer may have")

// limitedReader is a reader with limits that can be set and removed. Unlike
// io.LimitedReader, it fails at a limit: the end of a connection may be the end of
// an answer.
type limitedReader struct {
	source    io.Reader
	limited   bool
	remaining int64 // bytes, if limited
	lines     int   // that heads may still have, if limited; negative beyond the limit
	head      headScanner
	failure   error // the latest error of source; nil for none
}

func (l *limitedReader) limit(bytes int64, lines int) {
	l.limited, l.remaining, l.lines, l.head = true, bytes, lines, headScanner{}
}

func (l *limitedReader) unlimit() { l.limited = false }

// beginHead counts the lines of the head that begins with buffered, which was read before, and
// continues with the next bytes of source.
func (l *limitedReader) beginHead(buffered []byte) error {
	l.head = headScanner{open: true}
	return l.count(buffered)
}

// count counts the lines of heads in p. Lines after a head are not counted, as they belong to
// a body.
func (l *limitedReader) count(p []byte) error {
	if !l.limited {
		return nil
	}
	l.lines -= l.head.scan(p)
	if l.lines < 0 {
		return ErrTooManyLines
	}
	return nil
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.limited {
		if l.remaining <= 0 {
			return 0, ErrTooManyBytes
		}
		if l.lines < 0 {
			return 0, ErrTooManyLines
		}
		p = p[:min(int64(len(p)), l.remaining)]
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	l.failure = err
	if err := l.count(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// headScanner finds the lines of a head in its bytes, however they are split. The zero value
// is at the end of a head.
type headScanner struct {
	open  bool // the empty line that ends the head has not come yet
	begun bool // the current line is neither empty nor a carriage return alone
	cr    bool // the current line is a carriage return alone
}

// scan returns the number of lines that end in p and belong to the head, without the empty one
// after it.
func (h *headScanner) scan(p []byte) int {
	lines := 0
	for _, b := range p {
		switch {
		case !h.open:
			return lines
		case b != '\n':
			h.begun, h.cr = h.begun || h.cr || b != '\r', !h.begun && !h.cr && b == '\r'
		case h.begun:
			lines++
			h.begun, h.cr = false, false
		default:
			h.open = false
		}
	}
	return lines
}
