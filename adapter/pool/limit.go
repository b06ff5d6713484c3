package pool

import (
	"errors"
	"io"

	"hornbeamtray/adapter/upstream"
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
	remaining int64                 // bytes, if limited
	lines     int                   // that heads may still have, if limited; negative beyond the limit
	head      *upstream.HeadScanner // of the latest head; nil for none
	malformed error                 // what is wrong with a head, for good; nil for nothing
	failure   error                 // the latest error of source; nil for none
}

func (l *limitedReader) limit(bytes int64, lines int) {
	l.limited, l.remaining, l.lines, l.head = true, bytes, lines, nil
}

func (l *limitedReader) unlimit() { l.limited = false }

// beginHead checks the head that begins with buffered, which was read before, and continues
// with the next bytes of source.
func (l *limitedReader) beginHead(buffered []byte) error {
	l.head = &upstream.HeadScanner{}
	return l.scan(buffered)
}

// scan checks the part of a head in p and counts its lines. What follows a head is not checked,
// as it belongs to a body.
func (l *limitedReader) scan(p []byte) error {
	if l.head == nil {
		return nil
	}
	before := l.head.Lines()
	_, l.malformed = l.head.Scan(p)
	l.lines -= l.head.Lines() - before
	if l.limited && l.lines < 0 {
		return ErrTooManyLines
	}
	return l.malformed
}

// Read implements io.Reader. It fails for good at a malformed head: bufio drops an error that follows
// a part of a line, and would read on behind the malformed bytes.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.malformed != nil {
		return 0, l.malformed
	}
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
	if err := l.scan(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}
