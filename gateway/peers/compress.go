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
	minCompressBytes = 4 << 10  // shorter values are sent uncompressed
	maxValueBytes    = 64 << 20 // bound on an uncompressed value, as large as one response of the store
)

// compressor compresses long values for peers. It caches the last one, which is
// usually the configuration and requested by many peers.
type compressor struct {
	mu   sync.Mutex
	last item // guarded by mu
}

// encode returns a published item as it is sent to peers.
func (c *compressor) encode(it follow.Item) (item, error) {
	out := item{Key: it.Key, Value: it.Value, Revision: it.Revision, Removed: it.Removed, Lost: it.Lost, Version: it.Version}
	if len(it.Value) < minCompressBytes {
		return out, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Key == it.Key && c.last.Revision == it.Revision {
		return c.last, nil
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return item{}, trace.Wrap(err)
	}
	if _, err := writer.Write(it.Value); err != nil {
		return item{}, trace.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return item{}, trace.Wrap(err)
	}
	out.Value, out.Length = compressed.Bytes(), len(it.Value)
	c.last = out
	return out, nil
}

// decode returns the published item that a peer encoded. It returns an error if
// the value does not have the length that the peer gave.
func decode(it item) (follow.Item, error) {
	out := follow.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Removed: it.Removed, Lost: it.Lost, Version: it.Version}
	if it.Length == 0 {
		return out, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(it.Value)), maxValueBytes))
	if err != nil || len(value) != it.Length {
		return out, trace.BadParameter("the value of %s decompresses to %d bytes, not to %d: %v", it.Key, len(value), it.Length, err)
	}
	out.Value = value
	return out, nil
}
