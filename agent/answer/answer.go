// Package answer buffers the answer of one request between the target, which
// writes it, and its readers.
//
// A kept answer is stored whole, so that a repeat of the request receives it from
// the start. For other answers only a small window is buffered: a slow reader
// blocks the target instead of filling memory.
package answer

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"hornbeamtray/adapter/control"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/target"
)

const (
	windowBytes   = target.WindowBytes
	maxChunkBytes = 8 << 10 // bound on the data of one part
)

// Head precedes the data of an answer.
type Head struct {
	Status      int
	ContentType string
}

// End follows the data of an answer.
type End struct {
	Length uint64 // Length is the length of the whole answer, in bytes.
	Digest uint64 // Digest is the xxHash64 of the bytes that this reader received.
}

// Answer is an answer with one writer. A kept answer may have any number of
// readers, any other answer only one.
type Answer struct {
	kept     bool
	maxBytes int64          // bound on the length of a kept answer, in bytes
	changed  control.Signal // raised when one of the fields below changes

	mu       sync.Mutex
	head     *Head            // guarded by mu
	data     []byte           // guarded by mu; the buffered bytes, from offset base on
	base     uint64           // guarded by mu
	finished bool             // guarded by mu
	failure  *refusal.Refusal // guarded by mu; set instead of finished
}

// New returns an empty answer whose first byte is at offset in the whole answer. A
// kept answer always starts at 0 and is limited to maxBytes.
func New(kept bool, maxBytes int64, offset uint64) *Answer {
	if kept {
		offset = 0
	}
	return &Answer{kept: kept, maxBytes: maxBytes, base: offset}
}

// Begin sets the head.
func (a *Answer) Begin(head Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &head
	a.changed.Raise()
}

// Write appends bytes. If the answer is not kept, Write blocks while the window is
// full, or returns an error when ctx ends. If the answer is kept and the bytes would
// make it longer than maxBytes, Write returns a LimitExceeded error.
func (a *Answer) Write(ctx context.Context, p []byte) error {
	for len(p) > 0 {
		n, wait, err := a.add(p)
		if err != nil {
			return err
		}
		p = p[n:]
		if n > 0 {
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
	return nil
}

func (a *Answer) add(p []byte) (int, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	room := windowBytes - len(a.data)
	if a.kept {
		room = len(p)
		if int64(len(a.data)+len(p)) > a.maxBytes {
			return 0, nil, trace.LimitExceeded("the answer exceeds %d bytes; raise the agent's answer setting", a.maxBytes)
		}
	}
	n := min(room, len(p))
	if n <= 0 {
		return 0, a.changed.Wait(), nil
	}
	a.data = append(a.data, p[:n]...)
	a.changed.Raise()
	return n, nil, nil
}

// Finish marks the answer as complete.
func (a *Answer) Finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finished = true
	a.changed.Raise()
}

// Fail ends the answer with a refusal.
func (a *Answer) Fail(r refusal.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failure = &r
	a.changed.Raise()
}

// Offset returns the offset of the next byte to be written.
func (a *Answer) Offset() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base + uint64(len(a.data))
}

// AwaitDrained waits until the reader has read all buffered bytes, or returns an
// error when ctx ends. It must not be called on a kept answer, which stays buffered
// whole for repeats of the request: once that has any bytes, AwaitDrained would wait
// until ctx ends.
func (a *Answer) AwaitDrained(ctx context.Context) error {
	for {
		wait, empty := a.checkDrained()
		if empty {
			return nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

func (a *Answer) checkDrained() (<-chan struct{}, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed.Wait(), len(a.data) == 0
}

// Size returns the number of buffered bytes.
func (a *Answer) Size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.data))
}

// Part is one part of an answer: exactly one of a head, data, an end or a refusal.
type Part struct {
	Head    *Head
	Offset  uint64 // Offset is the offset of Data in the whole answer.
	Data    []byte
	End     *End
	Refusal *refusal.Refusal
}

// Reader reads one answer.
type Reader struct {
	answer   *Answer
	offset   uint64
	headSent bool
	digest   *xxhash.Digest // of the bytes returned by Next
}

// NewReader returns a reader that starts at offset.
func NewReader(a *Answer, offset uint64) *Reader {
	return &Reader{answer: a, offset: offset, digest: xxhash.New()}
}

// Next waits for the next part and returns it, or returns an error when ctx ends.
func (r *Reader) Next(ctx context.Context) (Part, error) {
	for {
		part, wait, ready := r.tryNext()
		if ready {
			return part, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return Part{}, trace.Wrap(ctx.Err())
		}
	}
}

func (r *Reader) tryNext() (Part, <-chan struct{}, bool) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head != nil && !r.headSent {
		r.headSent = true
		return Part{Head: a.head}, nil, true
	}
	if r.offset < endOffset(a) {
		return r.nextData(endOffset(a)), nil, true
	}
	if a.finished {
		return Part{End: &End{Length: endOffset(a), Digest: r.digest.Sum64()}}, nil, true
	}
	if a.failure != nil {
		return Part{Refusal: a.failure}, nil, true
	}
	return Part{}, a.changed.Wait(), false
}

// nextData returns the next chunk of the data before end. The caller holds answer.mu.
func (r *Reader) nextData(end uint64) Part {
	a := r.answer
	r.offset = max(r.offset, a.base)
	n := min(end-r.offset, maxChunkBytes)
	from := r.offset - a.base
	part := Part{Offset: r.offset, Data: append([]byte(nil), a.data[from:from+n]...)}
	_, _ = r.digest.Write(part.Data)
	r.offset += n
	if !a.kept {
		a.data = append(a.data[:0], a.data[from+n:]...)
		a.base = r.offset
		a.changed.Raise()
	}
	return part
}

// endOffset returns the offset after the last buffered byte. The caller holds a.mu.
func endOffset(a *Answer) uint64 {
	return a.base + uint64(len(a.data))
}
