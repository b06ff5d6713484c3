package answer

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/refusal"
)

// readAll reads an answer to its end, pausing before each part, and returns the
// data and the last part.
func readAll(r *Reader, pause time.Duration) ([]byte, Part) {
	var all []byte
	for {
		time.Sleep(pause)
		part, err := r.Next(context.Background())
		if err != nil || part.End != nil || part.Refusal != nil {
			return all, part
		}
		all = append(all, part.Data...)
	}
}

func TestReaders(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), 10_000)
	tests := []struct {
		name   string
		kept   bool
		offset uint64
		pause  time.Duration
	}{
		{"kept", true, 0, 0},
		{"kept, from an offset", true, 5_000, 0},
		{"kept, slow reader", true, 0, time.Second},
		{"window", false, 0, 0},
		{"window, slow reader", false, 0, time.Second},
		{"window, resumed", false, 5_000, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(tt.kept, 1<<20, tt.offset)
				go func() {
					a.Begin(Head{Status: 200})
					if err := a.Write(context.Background(), content[a.Offset():]); err != nil {
						t.Error(err)
					}
					a.Finish()
				}()
				got, last := readAll(NewReader(a, tt.offset), tt.pause)
				if !bytes.Equal(got, content[tt.offset:]) {
					t.Errorf("read %d bytes, want %d", len(got), len(content[tt.offset:]))
				}
				if last.End == nil || last.End.Length != uint64(len(content)) {
					t.Errorf("end is %+v, want length %d", last.End, len(content))
				}
			})
		})
	}
}

// TestRepeatsGetTheWholeAnswer reads a kept answer with two readers, of which one
// was created while the answer was being written.
func TestRepeatsGetTheWholeAnswer(t *testing.T) {
	a := New(true, 1<<10, 0)
	_ = a.Write(context.Background(), []byte("first "))
	early := NewReader(a, 0)
	_ = a.Write(context.Background(), []byte("second"))
	a.Finish()
	for _, r := range []*Reader{early, NewReader(a, 0)} {
		if got, _ := readAll(r, 0); string(got) != "first second" {
			t.Errorf("answer is %q, want \"first second\"", got)
		}
	}
}

func TestBounds(t *testing.T) {
	tests := []struct {
		name  string
		kept  bool
		bytes int
		want  error
	}{
		{"kept, within its bound", true, 100, nil},
		{"kept, over its bound", true, 101, errAny},
		{"window, full", false, windowBytes + 1, context.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				a := New(tt.kept, 100, 0)
				err := a.Write(ctx, make([]byte, tt.bytes))
				if (err == nil) != (tt.want == nil) || tt.want == context.DeadlineExceeded && !errors.Is(err, tt.want) {
					t.Errorf("error is %v, want %v", err, tt.want)
				}
				if most := int64(windowBytes); a.Size() > most {
					t.Errorf("answer buffers %d bytes, want at most %d", a.Size(), most)
				}
			})
		})
	}
}

var errAny = errors.New("any error")

func TestFailureReachesReaders(t *testing.T) {
	a := New(true, 100, 0)
	_ = a.Write(context.Background(), []byte("half"))
	a.Fail(refusal.New(refusal.Failed, refusal.Unknown, "check"))
	got, last := readAll(NewReader(a, 0), 0)
	if string(got) != "half" || last.Refusal == nil || last.Refusal.Kind != refusal.Failed {
		t.Errorf("answer is %q, refusal %+v; want \"half\" and a refusal of kind Failed", got, last.Refusal)
	}
}
