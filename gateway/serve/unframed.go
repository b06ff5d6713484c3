package serve

import (
	"fmt"
	"io"
)

// errCrashedAtEnd is the error of an unframed answer whose target crashed.
var errCrashedAtEnd = fmt.Errorf("%w: it ended with the connection, and the target no longer runs", ErrClosed)

// unframedReply is an answer that only the end of its connection ends. A target that
// crashes ends its connections, too; so the answer is whole only if the target still runs.
type unframedReply struct {
	Reply

	gone func() bool // reports whether the target no longer runs
}

// Read implements Reply.
func (u unframedReply) Read(p []byte) (int, error) {
	n, err := u.Reply.Read(p)
	if err == io.EOF && u.gone() {
		err = errCrashedAtEnd
	}
	return n, err
}
