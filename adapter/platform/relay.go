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
	maxWait     = time.Minute
	worthToPack = 1024                   // bytes
	relayLag    = 200 * time.Millisecond // between a publication and its passing on
)

// Relay passes the newest sound publication on to peers, by the platform's own
// protocol.
type Relay struct {
	changed control.Signal

	mu     sync.Mutex
	latest Publication // guarded by mu; its version never falls
}

// NewRelay returns a relay with nothing to pass on.
func NewRelay() *Relay {
	return &Relay{}
}

// Put passes a publication on, unless a newer one was put before.
func (r *Relay) Put(p Publication) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Version > r.latest.Version {
		r.latest = p
		r.changed.Raise()
	}
}

// Latest returns the newest publication.
func (r *Relay) Latest() Publication {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// ServeHTTP answers with a publication newer than the one that the peer has, or
// when its wait is over. With a target in the query it gives the part that
// concerns that target.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	after, wait := Watch(request)
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
			if !lag(request) {
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

// lag waits before something new is passed on. A peer that reads the platform
// itself has it by then, and takes its request back.
func lag(request *http.Request) bool {
	timer := time.NewTimer(relayLag)
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
	Write(w, request, p.Version, text)
}

// Watch returns the version that a reader has and how long it waits for a newer one.
func Watch(request *http.Request) (uint64, time.Duration) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(request.URL.Query().Get("wait"))
	return after, min(max(0, wait), maxWait)
}

// Write answers with a publication, packed where the reader can unpack it.
func Write(w http.ResponseWriter, request *http.Request, version uint64, text []byte) {
	w.Header().Set(VersionHeader, strconv.FormatUint(version, 10))
	if len(text) < worthToPack || !strings.Contains(request.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(text)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	packer := gzip.NewWriter(w)
	_, _ = packer.Write(text)
	_ = packer.Close()
}
