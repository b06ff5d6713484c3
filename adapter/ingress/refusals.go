package ingress

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// kind is the cause of a refusal, as metrics and logs show it.
type kind string

const (
	accepted    kind = "" // no refusal
	headBytes   kind = "head_bytes"
	headLines   kind = "head_lines"
	emptyLines  kind = "empty_lines"
	headTimeout kind = "head_timeout"
	memory      kind = "memory"
	connections kind = "connections"
	bodyBytes   kind = "body_bytes"
	bodyStall   kind = "body_timeout"
)

// Errors of ReadBody. The request has not run, and the server must refuse it.
var (
	ErrTooLarge = errors.New("the body is over the limit; send a smaller one")
	ErrMemory   = errors.New("this instance holds too many requests; try again")
	ErrStalled  = errors.New("no part of the body arrived for too long; send it whole")
)

// RetryAfter is how long callers should wait after ErrMemory.
const RetryAfter = time.Second

// response describes the refusal of a head.
type response struct {
	status   int
	repeated int // replaces status on a listener whose requests may repeat others, since status promises that the request did not run
	header   string
	text     string
}

var responses = map[kind]response{
	headBytes:   {status: http.StatusRequestHeaderFieldsTooLarge, text: "the head is over the limit; send fewer bytes"},
	headLines:   {status: http.StatusRequestHeaderFieldsTooLarge, text: "the head has too many lines; send fewer"},
	emptyLines:  {status: http.StatusBadRequest, text: "too many empty lines before the request; send none"},
	headTimeout: {status: http.StatusRequestTimeout, repeated: http.StatusBadRequest, text: "the head did not arrive in time; send it at once"},
	memory:      {status: http.StatusServiceUnavailable, repeated: http.StatusBadGateway, header: "Retry-After: 1\r\n", text: "this instance holds too many requests; try again"},
}

// statusFor returns the status of a refusal.
func (r response) statusFor(repeats bool) int {
	if repeats && r.repeated != 0 {
		return r.repeated
	}
	return r.status
}

// bytes returns the refusal as a minimal HTTP/1.1 response.
func (r response) bytes(repeats bool) []byte {
	status := r.statusFor(repeats)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), r.header, len(r.text)+1, r.text)
}

// tally counts refusals until they are logged.
type tally struct {
	mu      sync.Mutex
	entries map[kind]tallyEntry // since the last lines
}

type tallyEntry struct {
	count   int
	address string // of the latest caller
}

func (t *tally) add(k kind, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = make(map[kind]tallyEntry)
	}
	t.entries[k] = tallyEntry{count: t.entries[k].count + 1, address: address}
}

// take returns the refusals since the last call.
func (t *tally) take() map[kind]tallyEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := t.entries
	t.entries = nil
	return entries
}
