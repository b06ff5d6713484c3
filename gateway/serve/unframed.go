package serve

import (
	"errors"
	"fmt"
	"io"
)

var (
	// errCrashedAtEnd is the error of an unframed answer whose target crashed.
	errCrashedAtEnd = fmt.Errorf("%w: it ended with the connection, and the target no longer runs", ErrClosed)
	// errUnprovenEnd is the error of an unframed answer that may be whole or not.
	errUnprovenEnd = errors.New("the answer ended with its connection, and nothing shows that it is whole")
)

// unframedReply is an answer that only the end of its connection ends. A target that
// crashes ends its connections, too; so the end needs a proof that the answer is whole.
type unframedReply struct {
	Reply

	prove func() error // returns an error unless the answer is whole
}

// Read implements Reply.
func (u unframedReply) Read(p []byte) (int, error) {
	n, err := u.Reply.Read(p)
	if err == io.EOF {
		if unproven := u.prove(); unproven != nil {
			err = unproven
		}
	}
	return n, err
}

// proveEnd returns an error unless an unframed answer of the current attempt, which has
// ended, is whole: its target still runs. That a target left, as it said it would, is no
// proof: one that must be gone by a fixed time leaves in the middle of its answers.
func (d *delivery) proveEnd(head Head) error {
	switch d.service.presence(d.target) {
	case Present:
		return nil
	case Gone:
		if !head.Leaving && !d.service.State().Departing(d.target) {
			return errCrashedAtEnd
		}
	}
	return errUnprovenEnd
}
