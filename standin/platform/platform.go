// Package platform is a stand-in for the platform's configuration service, for
// tests and demonstrations. Operators publish to it; the system only reads it.
package platform

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"

	"hornbeamtray/adapter/control"
	"hornbeamtray/adapter/platform"
)

// Platform holds the latest publication, and can be made to fail.
type Platform struct {
	changed control.Signal

	mu      sync.Mutex
	version uint64 // guarded by mu
	text    []byte // guarded by mu
	older   []byte // guarded by mu; the publication before
	fault   string // guarded by mu; "", "down" or "stale"
	reads   uint64 // guarded by mu

	listed publication // guarded by mu; the list of instances
}

// New returns a platform that has published nothing.
func New() *Platform {
	return &Platform{}
}

// Handler serves the platform.
func (p *Platform) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/configuration"), p.read)
	mux.HandleFunc(pat.Put("/v1/configuration"), p.publish)
	mux.HandleFunc(pat.Get("/v1/instances"), p.readInstances)
	mux.HandleFunc(pat.Put("/v1/instances"), p.list)
	mux.HandleFunc(pat.Put("/fault/:fault"), p.setFault)
	mux.HandleFunc(pat.Get("/reads"), p.countReads)
	return mux
}

func (p *Platform) publish(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxPublicationBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, published := p.put(text, r.Header.Get("If-Match"))
	if !published {
		http.Error(w, fmt.Sprintf("version is %d", version), http.StatusPreconditionFailed)
		return
	}
	fmt.Fprintf(w, "%d\n", version)
}

// put publishes text, if expected is empty or names the present version.
func (p *Platform) put(text []byte, expected string) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if expected != "" && expected != strconv.FormatUint(p.version, 10) {
		return p.version, false
	}
	p.version++
	p.older, p.text = p.text, text
	p.changed.Raise()
	return p.version, true
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = pat.Param(r, "fault")
	if p.fault == "none" {
		p.fault = ""
	}
	p.changed.Raise()
	fmt.Fprintln(w, pat.Param(r, "fault"))
}

func (p *Platform) countReads(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(w, "%d\n", p.reads)
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, p.latest)
}

func (p *Platform) readInstances(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, p.instances)
}

// serve answers one read, a waiting one when there is something newer.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request, get func() publication) {
	after, wait := platform.ParseWatch(r)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.count()
	for {
		changed := p.changed.Wait()
		now := get()
		if now.down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if now.version > after {
			platform.WritePublication(w, r, now.version, now.text)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// list takes a list of instances, to be published after the lag in the query.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxPublicationBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lag, _ := time.ParseDuration(r.URL.Query().Get("lag"))
	time.AfterFunc(lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.listed = publication{version: p.listed.version + 1, text: text}
		p.changed.Raise()
	})
	fmt.Fprintln(w, "listed")
}

func (p *Platform) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
}

// publication is what one read gives.
type publication struct {
	version uint64
	text    []byte
	down    bool
}

func (p *Platform) latest() publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == "stale" && p.version > 1 {
		return publication{version: p.version - 1, text: p.older}
	}
	return publication{version: p.version, text: p.text, down: p.fault == "down"}
}

func (p *Platform) instances() publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.listed
	now.down = p.fault == "down"
	return now
}
