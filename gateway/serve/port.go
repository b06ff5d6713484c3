package serve

import (
	"context"
	"errors"
	"time"

	"hornbeamtray/core/trail"
)

// Header holds the header fields of a message, which this package doesn't
// interpret.
type Header map[string][]string

// Message is a request as the caller sent it.
type Message struct {
	Method string
	Target string // Target is the path and query, as the caller sent them.
	Header Header
	Body   []byte
}

// Call is one attempt to send a request to a target.
type Call struct {
	Message
	ID           string // ID is the request ID that the caller chose.
	Address      string // Address is the IP and port of the target.
	Instance     string // Instance is the ID of the target; any other target refuses the call.
	Account      string // Account is the caller's client account; empty on public routes.
	Host         string
	SendPriority bool          // SendPriority reports whether Priority is sent to the target.
	Priority     int           // Priority orders requests that wait at the target; 0 is the highest.
	Timeout      time.Duration // Timeout is how much longer the caller waits.
	LastEventID  string        // LastEventID is the ID of the last event that the caller received.

	// BeforeSend, if set, is called when there is a connection and the call is about to be written.
	// With an error, nothing is written.
	BeforeSend func() error

	// OnSend, if set, is called when the call was written or has failed to be, or, if it is
	// written concurrently with reading its answer, before that. It is not called if no
	// connection could be made.
	OnSend func(Sending)
}

// Sending describes how a call was sent, for logs.
type Sending struct {
	Connection string // Connection identifies the connection to the target; empty if there was none.
	Earlier    int    // Earlier is the number of requests that the connection carried before.
	Previous   string // Previous is the ID of the latest of them, or its begin if it is long.
	Bytes      int    // Bytes is how many bytes were written, or -1 if that was not known yet.
}

// Head is the part of an answer that precedes its body.
type Head struct {
	Status    int
	Header    Header
	Length    int64 // Length is the length of the body in bytes, or -1 if it is not known.
	Signed    bool  // Signed reports whether the target signed the answer.
	NotRun    bool  // NotRun reports whether the target guarantees that it did not run the request.
	Promises  bool  // Promises reports whether callers take the status for the guarantee that the request did not run and never will.
	Replaced  bool  // Replaced reports whether another process than the expected target answered.
	Unframed  bool  // Unframed reports whether only the end of the connection ends the answer.
	Leaving   bool  // Leaving reports whether the target says that it accepts no new work.
	GroupLost bool  // GroupLost reports whether the target's group of ranks can't work, so that no target of the group would run the request.

	Pause        time.Duration // Pause is how long the target wants no requests from this gateway; 0 for no pause.
	InvalidPause string        // InvalidPause is a request for a pause that can't be understood; empty for none.

	Limited      bool    // Limited reports whether the target names a limit on the requests of all gateways together.
	Limit        float64 // Limit is this limit, in requests a second.
	InvalidLimit string  // InvalidLimit is a quoted limit that can't be understood; empty for none.
}

// ErrNotSent is wrapped by errors of Send if the gateway sent no byte of the request.
var ErrNotSent = errors.New("no byte of the request was sent")

// ErrLate is wrapped, beside ErrNotSent, by errors of Send if it was too late to write the request.
var ErrLate = errors.New("the request is late")

// ErrClosed is wrapped by errors of Send and Reply.Read if the target closed or reset
// the connection before its answer was complete.
var ErrClosed = errors.New("the target closed the connection before its answer was complete")

// Reply is an answer that a target is sending.
type Reply interface {
	Head() Head
	// Read reads the body. It returns io.EOF only after a complete body.
	Read(p []byte) (int, error)
	// Ask does what Targets.Ask does for the target of the answer. If the answer is unframed, the
	// connection of the sign may have been opened as the head of the answer arrived.
	Ask(ctx context.Context) Sign
	// Close returns the connection to its pool, or closes it if the answer was not
	// read to the end.
	Close()
}

// Targets sends calls to targets.
type Targets interface {
	// Send sends a call once and returns when the head of the answer has arrived.
	Send(ctx context.Context, call Call) (Reply, error)
	// Ask asks the process that listens at an address for a sign of life. It sends no request of
	// a caller.
	Ask(ctx context.Context, address string) Sign
}

// Reach is how far a question got.
type Reach int

// The values of Reach.
const (
	Unreached Reach = iota // no process answered; one may run
	Refused                // no process accepts connections, or they are closed at once
	Answered               // a process answered
)

// Sign is what a process at the address of a target showed of itself when it was asked.
type Sign struct {
	Reach          Reach
	Age            time.Duration // Age is how long the connection of the answer has been open.
	StartUnixMilli int64         // StartUnixMilli is the start time of the process that answered, or 0 if it named none.
}

// Writer writes an answer to a caller. An error means that the caller has
// disconnected or has stopped reading.
type Writer interface {
	Begin(head Head) error
	Write(p []byte) error
}

// Meter records the gateway's metrics.
type Meter interface {
	Inc(name, kind string)
	Gauge(name string, value float64)
	Observe(name string, d time.Duration)
}

// Journal logs events and changes of the audit trail.
type Journal interface {
	Event(event string, pairs ...any)
	Changes(before, after trail.Trail)
}
