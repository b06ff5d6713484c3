package platform

import (
	"compress/gzip"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hornbeamtray/adapter/control"
	"hornbeamtray/adapter/document"
)

const (
	maxWait          = time.Minute
	minCompressBytes = 1024                   // shorter texts are sent uncompressed
	relayDelay       = 200 * time.Millisecond // between receiving a publication and sending it to peers
)

// Relay serves the newest publication without faults to peers, in the platform's
// own protocol.
type Relay struct {
	changed control.Signal

	mu     sync.Mutex
	latest Publication // guarded by mu; its version never decreases
}

// NewRelay returns a relay without a publication.
func NewRelay() *Relay {
	return &Relay{}
}

// Put makes p the publication to serve, unless the relay has p's version or a
// newer one.
func (r *Relay) Put(p Publication) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Version > r.latest.Version {
		r.latest = p
		r.changed.Raise()
	}
}

// Latest returns the newest publication, or the zero Publication if there is none.
func (r *Relay) Latest() Publication {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// ServeHTTP responds with a publication newer than the one that the peer has, or
// with 304 Not Modified if none arrives within the wait that the peer asked for.
// If the query names a target, the response holds only the part of the
// configuration that concerns that target.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	after, wait := ParseWatch(request)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := r.changed.Wait()
		if p := r.Latest(); p.Version > after {
			r.write(w, request, p)
			return
		}
		select {
		case <-changed:
			if !delay(request) {
				return
			}
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-request.Context().Done():
			return
		}
	}
}

// delay waits for relayDelay before a new publication is sent to a peer. A peer
// that reads the platform itself has the publication by then and cancels its
// request; delay then returns false.
func delay(request *http.Request) bool {
	timer := time.NewTimer(relayDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

func (r *Relay) write(w http.ResponseWriter, request *http.Request, p Publication) {
	text := p.Text
	if target := request.URL.Query().Get("target"); target != "" {
		part, err := document.PrintConfiguration(p.Configuration.ForTarget(target))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		text = part
	}
	WritePublication(w, request, p.Version, text)
}

// ParseWatch returns the version that the sender of a watch request has and how
// long it waits for a newer one, at most maxWait.
func ParseWatch(request *http.Request) (uint64, time.Duration) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(request.URL.Query().Get("wait"))
	return after, min(max(0, wait), maxWait)
}

// WritePublication responds with a publication. It compresses a text of at least
// minCompressBytes if the request accepts gzip.
func WritePublication(w http.ResponseWriter, request *http.Request, version uint64, text []byte) {
	w.Header().Set(VersionHeader, strconv.FormatUint(version, 10))
	if len(text) < minCompressBytes || !strings.Contains(request.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(text)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	writer := gzip.NewWriter(w)
	_, _ = writer.Write(text)
	_ = writer.Close()
}
