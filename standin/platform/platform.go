// Package platform simulates the platform's configuration service for tests and
// demonstrations. Tests and operators publish to it; the system only reads it.
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

// Platform holds the published configuration and list of instances, and can
// simulate faults.
type Platform struct {
	changed control.Signal

	mu       sync.Mutex
	version  uint64 // guarded by mu; version of the configuration in text
	text     []byte // guarded by mu; the latest configuration
	previous []byte // guarded by mu; the configuration that text replaced; nil if there was none
	fault    string // guarded by mu; "down" fails reads, "stale" returns the previous configuration, "" is none
	reads    uint64 // guarded by mu

	instanceList publication // guarded by mu
}

// New returns a platform without publications.
func New() *Platform {
	return &Platform{}
}

// Handler returns the HTTP handler of the platform.
func (p *Platform) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/configuration"), p.readConfiguration)
	mux.HandleFunc(pat.Put("/v1/configuration"), p.publishConfiguration)
	mux.HandleFunc(pat.Get("/v1/instances"), p.readInstances)
	mux.HandleFunc(pat.Put("/v1/instances"), p.publishInstances)
	mux.HandleFunc(pat.Put("/fault/:fault"), p.setFault)
	mux.HandleFunc(pat.Get("/reads"), p.showReads)
	return mux
}

func (p *Platform) publishConfiguration(w http.ResponseWriter, r *http.Request) {
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

// put publishes the configuration text if expected is empty or equals the current
// version. It returns the version in force and reports whether text was published.
func (p *Platform) put(text []byte, expected string) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if expected != "" && expected != strconv.FormatUint(p.version, 10) {
		return p.version, false
	}
	p.version++
	p.previous, p.text = p.text, text
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

func (p *Platform) showReads(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(w, "%d\n", p.reads)
}

func (p *Platform) readConfiguration(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, p.configuration)
}

func (p *Platform) readInstances(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, p.instances)
}

// serve answers a read as soon as get returns a version newer than the one that the
// reader has, with 304 when the reader's wait time has elapsed, or with 503 while the
// platform simulates an outage.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request, get func() publication) {
	after, wait := platform.ParseWatch(r)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.countRead()
	for {
		changed := p.changed.Wait()
		current := get()
		if current.down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if current.version > after {
			platform.WritePublication(w, r, current.version, current.text)
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

// publishInstances publishes the list of instances in the body after the delay
// that the query parameter lag gives; without a valid lag it does so at once.
func (p *Platform) publishInstances(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxPublicationBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lag, _ := time.ParseDuration(r.URL.Query().Get("lag"))
	time.AfterFunc(lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.instanceList = publication{version: p.instanceList.version + 1, text: text}
		p.changed.Raise()
	})
	fmt.Fprintln(w, "listed")
}

func (p *Platform) countRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
}

// publication is a configuration or a list of instances as a read returns it. If down
// is set, the platform simulates an outage and the read fails.
type publication struct {
	version uint64
	text    []byte
	down    bool
}

func (p *Platform) configuration() publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == "stale" && p.version > 1 {
		return publication{version: p.version - 1, text: p.previous}
	}
	return publication{version: p.version, text: p.text, down: p.fault == "down"}
}

func (p *Platform) instances() publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.instanceList
	current.down = p.fault == "down"
	return current
}
