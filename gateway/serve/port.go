package serve

import (
	"context"
	"errors"
	"time"

	"hornbeamtray/core/trail"
)

// Header are the named fields of a message's head, passed on unread.
type Header map[string][]string

// Message is a request as the caller sent it.
type Message struct {
	Method string
	Target string // Target is the path and query, unchanged.
	Header Header
	Body   []byte
}

// Call is one attempt at a target.
type Call struct {
	Message
	ID           string // ID is the caller's number of the request.
	Address      string // Address is the IP and port of the target.
	Instance     string // Instance is the target that must answer; any other refuses.
	Account      string // Account is the caller's client account, empty on public routes.
	Host         string
	SendPriority bool          // Ranked: the target is told of Priority.
	Priority     int           // Priority orders waiting requests; 0 goes first.
	Timeout      time.Duration // Left is how much longer the caller waits.
	LastEventID  string        // After is the number of the last event that the caller has.
}

// Head is what comes before the first byte of an answer.
type Head struct {
	Status    int
	Header    Header
	Length    int64 // Length of the whole answer in bytes; -1 where it is not known.
	Signed    bool  // Stamped: the answer bears the target's signature.
	NotRun    bool  // NotRun: the target proves that it did not run the request.
	GroupLost bool  // Group: the target's group can't work; no other of its ranks would run the request.
}

// ErrNotSent is the cause of an error of Send where no byte left the gateway.
var ErrNotSent = errors.New("no byte of the request was sent")

// Reply is an answer as it comes from a target.
type Reply interface {
	Head() Head
	// Read reads the body; io.EOF says that it is whole.
	Read(p []byte) (int, error)
	// Close gives the connection back, or up where the answer was not read whole.
	Close()
}

// Targets reaches targets.
type Targets interface {
	// Send sends a call once and waits for the head of its answer.
	Send(ctx context.Context, call Call) (Reply, error)
}

// Writer takes an answer for a caller. An error means that the caller is gone
// or reads nothing.
type Writer interface {
	Begin(head Head) error
	Write(p []byte) error
}

// Meter counts and times what the gateway does.
type Meter interface {
	Inc(name, kind string)
	Gauge(name string, value float64)
	Observe(name string, d time.Duration)
}

// Journal writes events.
type Journal interface {
	Event(event string, pairs ...any)
	Changes(before, after trail.Trail)
}
