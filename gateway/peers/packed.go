package peers

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/gravitational/trace"

	"hornbeamtray/gateway/follow"
)

const (
	packFrom  = 4 << 10  // bytes of a value from which it is packed
	maxLength = 64 << 20 // bytes of an unpacked value, as much as the store tells at once
)

// packed packs long values for peers. It keeps the last one, which is mostly the
// configuration and asked for by many.
type packed struct {
	mu   sync.Mutex
	last item // guarded by mu
}

// item returns a published item as it is passed on.
func (p *packed) item(it follow.Item) (item, error) {
	out := item{Key: it.Key, Value: it.Value, Revision: it.Revision, Removed: it.Removed}
	if len(it.Value) < packFrom {
		return out, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.Key == it.Key && p.last.Revision == it.Revision {
		return p.last, nil
	}
	var text bytes.Buffer
	packer, err := flate.NewWriter(&text, flate.BestSpeed)
	if err != nil {
		return item{}, trace.Wrap(err)
	}
	if _, err := packer.Write(it.Value); err != nil {
		return item{}, trace.Wrap(err)
	}
	if err := packer.Close(); err != nil {
		return item{}, trace.Wrap(err)
	}
	out.Value, out.Length = text.Bytes(), len(it.Value)
	p.last = out
	return out, nil
}

// unpack returns a published item as it was.
func unpack(it item) (follow.Item, error) {
	out := follow.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Removed: it.Removed}
	if it.Length == 0 {
		return out, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(it.Value)), maxLength))
	if err != nil || len(text) != it.Length {
		return out, trace.BadParameter("the value of %s has %d bytes, not the %d that were packed: %v", it.Key, len(text), it.Length, err)
	}
	out.Value = text
	return out, nil
}
