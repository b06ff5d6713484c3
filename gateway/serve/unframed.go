package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

const (
	lastPresenceTimeout = time.Second // if no other attempt can follow, the answer is lost without a proof

	// replacementTime is what a process that crashes and the next one at its address take together
	// at least. A connection that was opened within it after a request was sent leads to the
	// process that got the request.
	replacementTime = 500 * time.Millisecond

	longAgo = time.Duration(math.MaxInt64) // before any connection was opened, so that only a start time identifies a process
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
// ended, is whole: the process that sent it still runs. That a target left, as it said it would,
// is no proof: one that must be gone by a fixed time leaves in the middle of its answers.
func (d *delivery) proveEnd(ctx context.Context, reply Reply) error {
	timeout := presenceTimeout
	if !d.admission.Route.Repeatable() || !d.mayRetry() {
		timeout = lastPresenceTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch reply.Ask(ctx).presence(d.target.StartUnixMilli, d.sinceSend()) {
	case present:
		return nil
	case gone:
		if !reply.Head().Leaving && !d.service.State().Departing(d.target) {
			return errCrashedAtEnd
		}
	}
	return errUnprovenEnd
}

// presence is what is known of a target's process.
type presence int

// The values of presence.
const (
	presenceUnknown presence = iota // it can't be reached, or a process runs that may be another
	present                         // the process runs
	gone                            // the process has ended; another may run at its address
)

// presence returns what the sign says of a process that started at startUnixMilli, 0 if that is
// not known, and got a request that was sent sentAgo.
func (s Sign) presence(startUnixMilli int64, sentAgo time.Duration) presence {
	switch {
	case s.Reach == Refused:
		return gone
	case s.Reach != Answered:
		return presenceUnknown
	case s.StartUnixMilli != 0 && startUnixMilli != 0:
		if s.StartUnixMilli == startUnixMilli {
			return present
		}
		return gone
	case s.Age > sentAgo-replacementTime:
		return present
	}
	return presenceUnknown
}
