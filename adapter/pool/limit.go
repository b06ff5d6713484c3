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
	failure   error // the latest error of source; nil for none
}

func (l *limitedReader) limit(n int64) { l.limited, l.remaining = true, n }

func (l *limitedReader) unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.limited {
		if l.remaining <= 0 {
			return 0, ErrTooManyBytes
		}
		p = p[:min(int64(len(p)), l.remaining)]
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	l.failure = err
	return n, err
}
