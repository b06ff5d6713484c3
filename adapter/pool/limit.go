package pool

import (
	"errors"
	"io"
)

// ErrTooManyBytes is the error of reads beyond the limit that Conn.LimitReads set.
var ErrTooManyBytes = errors.New("the target sent more bytes than its answer may have here")

// limitedReader is a reader with a limit that can be set and removed. Unlike
// io.LimitedReader, it fails at the limit: the end of a connection may be the end of
// an answer.
type limitedReader struct {
	source    io.Reader
	limited   bool
	remaining int64 // if limited
}

func (l *limitedReader) limit(n int64) { l.limited, l.remaining = true, n }

func (l *limitedReader) unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrTooManyBytes
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
