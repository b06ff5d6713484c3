package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
)

const (
	firstBodyBytes = 4 << 10 // size of the buffer before a byte of a body arrived
	bufferSizes    = 10      // up to 2 MiB, the last size before the usual limit of bodies
)

// ReadBody reads the body of a request into memory, which it reserves as the bytes arrive. An
// empty owner stands for the caller's address. It returns ErrTooLarge if the body has more
// than limit bytes, ErrMemory if there is no room for it, and ErrStalled if no byte of it
// arrived for 30 s. The memory is reserved until the end of the request or until release,
// which is never nil, is called. A limit of 0 stands for the default.
func (g *Guard) ReadBody(w http.ResponseWriter, r *http.Request, owner string, limit int64) (body []byte, release func(), err error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	c := connOf(r)
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	reserved := g.bodyReservation(r, owner, c)
	body, err = readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, reserved)
	if err == nil && (c == nil || c.endBody()) {
		return body, reserved.release, nil
	}
	if err == nil {
		err = errRefused // the connection was closed for another one
	}
	reserved.release()
	if c != nil && !errors.Is(err, ErrTooLarge) {
		w.Header().Set("Connection", "close")
		c.linger()
	}
	if refused := bodyKind(err); refused != accepted {
		g.refused(refused, addressOf(r, c))
	}
	return nil, func() {}, err
}

// bodyReservation returns an empty reservation for the body of a request.
func (g *Guard) bodyReservation(r *http.Request, owner string, c *conn) *reservation {
	if owner == "" {
		owner = addressOf(r, c)
	}
	reserved := &reservation{guard: g, owner: owner, free: freeMemory}
	if c == nil {
		return reserved
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reserved.free = max(0, freeMemory-c.head.need)
	c.content = reserved
	return reserved
}

// addressOf returns the address of the caller of a request. c is nil if no guard serves it.
func addressOf(r *http.Request, c *conn) string {
	if c != nil {
		return c.owner
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return host
}

// bodyKind returns the kind of refusal that an error of ReadBody leads to.
func bodyKind(err error) kind {
	switch {
	case errors.Is(err, ErrTooLarge):
		return bodyBytes
	case errors.Is(err, ErrMemory):
		return memory
	case errors.Is(err, ErrStalled):
		return bodyStall
	}
	return accepted
}

// readAll reads a body of a known length, or of at most limit bytes if length is negative.
func readAll(body io.Reader, length, limit int64, reserved *reservation) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	most := limit
	if length >= 0 {
		most = length
	}
	buffer := []byte(nil)
	var scratch [1]byte
	for {
		free := scratch[:] // tells the end of a body that fills its buffer from a longer one
		if int64(len(buffer)) < most {
			next, err := grown(buffer, most, reserved)
			if err != nil {
				recycle(buffer)
				return nil, err
			}
			buffer = next
			free = buffer[len(buffer):cap(buffer)]
		}
		n, err := body.Read(free)
		if &free[0] != &scratch[0] {
			buffer = buffer[:len(buffer)+n]
		}
		switch {
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			recycle(buffer)
			return nil, readError(err)
		}
	}
}

// readError returns the error of ReadBody for that of a read.
func readError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrTooLarge
	case isTimeout(err):
		return ErrStalled
	}
	return trace.Wrap(err)
}

// grown returns buffer with room for at least one more byte, and with a capacity of at most
// most. While it is copied, the old and the new buffer are reserved.
func grown(buffer []byte, most int64, reserved *reservation) ([]byte, error) {
	old := int64(cap(buffer))
	if int64(len(buffer)) < old {
		return buffer, nil
	}
	size := min(most, max(firstBodyBytes, 2*old))
	if !reserved.resize(old + size) {
		return nil, ErrMemory
	}
	next := append(newBuffer(size), buffer...)
	recycle(buffer)
	reserved.resize(size)
	return next, nil
}

// buffers holds buffers of firstBodyBytes, twice that and so on, which no body uses any more.
// Without them, callers that are refused while their bodies grow would fill the heap with
// garbage up to the next collection.
var buffers [bufferSizes]sync.Pool

// bufferSize returns the index in buffers for a size, or -1.
func bufferSize(size int64) int {
	for i := range bufferSizes {
		if size == firstBodyBytes<<i {
			return i
		}
	}
	return -1
}

// newBuffer returns an empty buffer with a capacity of size.
func newBuffer(size int64) []byte {
	if i := bufferSize(size); i >= 0 {
		if buffer, ok := buffers[i].Get().(*[]byte); ok {
			return (*buffer)[:0]
		}
	}
	return make([]byte, 0, size)
}

// recycle keeps a buffer that no one uses any more.
func recycle(buffer []byte) {
	if i := bufferSize(int64(cap(buffer))); i >= 0 {
		buffers[i].Put(&buffer)
	}
}

// endBody records that the current body has arrived. It reports false if the connection was
// evicted before. net/http may already wait for the next request.
func (c *conn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.hold()
	if c.phase == serving {
		c.open, c.body = false, 0
		c.arm(0)
	}
	return held
}

// linger bounds the time in which net/http discards the rest of a refused body.
func (c *conn) linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
	c.arm(lingerTimeout)
}
