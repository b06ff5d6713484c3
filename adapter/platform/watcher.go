// Package platform reads what the platform publishes, directly or through peers
// that pass it on. It never writes there.
//
// It turns each publication into an offer; whether an offer comes into force is
// decided by the core.
package platform

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/clock"
)

const (
	// VersionHeader carries the version of a publication.
	VersionHeader = "Tray-Version"
	// MaxPublication bounds a publication, in bytes.
	MaxPublication = 1 << 20
	// ConfigurationPath is where configurations are published.
	ConfigurationPath = "/v1/configuration"
	// InstancesPath is where the list of instances is published.
	InstancesPath = "/v1/instances"

	watchTime    = 30 * time.Second
	readTimeout  = watchTime + 5*time.Second
	dialTimeout  = time.Second
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// reader takes what one watcher reads.
type reader interface {
	// take gets a publication newer than the last.
	take(version uint64, text []byte)
	// unchanged tells that there was nothing newer.
	unchanged()
	// failed tells that the source could not be read.
	failed(err error)
}

// watcher follows one source by long polls: each read waits at the source for
// something newer.
type watcher struct {
	tomb    tomb.Tomb
	url     string
	query   url.Values
	client  *http.Client
	reader  reader
	version uint64        // owned by run; the highest version seen, sound or not
	wait    time.Duration // owned by run; none for the first read

	mu     sync.Mutex
	known  uint64             // guarded by mu; a version that came from another source
	cancel context.CancelFunc // guarded by mu; ends the read in progress
}

// skip tells that a version came from another source, so that this one need not
// send it.
func (w *watcher) skip(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.known {
		return
	}
	w.known = version
	if w.cancel != nil {
		w.cancel()
	}
}

// begin returns the bounds of one read: its context and the version known.
func (w *watcher) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.cancel = context.WithCancel(ctx)
	w.version = max(w.version, w.known)
	return ctx, w.cancel
}

// skipped reports whether a read ended because its version came elsewhere.
func (w *watcher) skipped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known > w.version
}

func newWatcher(source, path string, query url.Values, local net.IP, reader reader) *watcher {
	w := &watcher{url: source + path, query: query, client: newClient(local), reader: reader}
	w.tomb.Go(w.run)
	return w
}

// newClient returns a client whose connections come from an IP, so that the
// network can tell instances apart; nil stands for any.
func newClient(local net.IP) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	return &http.Client{Timeout: readTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1}}
}

// Close stops watching and waits.
func (w *watcher) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

func (w *watcher) run() error {
	ctx := w.tomb.Context(context.Background())
	backoff := firstBackoff
	for w.tomb.Alive() {
		reading, cancel := w.begin(ctx)
		err := w.read(reading)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		if err == nil || w.skipped() {
			w.wait, backoff = watchTime, firstBackoff
			continue
		}
		w.reader.failed(err)
		if !clock.Pause(ctx, backoff/2+time.Duration(rand.Float64()*float64(backoff/2))) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// read waits for one publication newer than the last, or for the end of the watch.
func (w *watcher) read(ctx context.Context) error {
	query := url.Values{"after": {strconv.FormatUint(w.version, 10)}, "wait": {w.wait.String()}}
	for name, values := range w.query {
		query[name] = values
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, w.url+"?"+query.Encode(), nil)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := w.client.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "%s can't be read; what was last read stays in force", w.url)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNotModified:
		w.reader.unchanged()
		return nil
	case http.StatusOK:
		return w.accept(response)
	default:
		return trace.ConnectionProblem(nil, "%s answered %s; what was last read stays in force", w.url, response.Status)
	}
}

func (w *watcher) accept(response *http.Response) error {
	version, err := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	if err != nil || version == 0 {
		return trace.BadParameter("%s gave no version; check the address", w.url)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxPublication+1))
	if err != nil {
		return trace.ConnectionProblem(err, "the answer of %s was cut; it is read again", w.url)
	}
	if len(text) > MaxPublication {
		return trace.LimitExceeded("the publication is over %d bytes; publish a smaller one", MaxPublication)
	}
	if version <= w.version {
		return trace.CompareFailed("%s went back from version %d to %d; the newer one stays in force", w.url, w.version, version)
	}
	w.version = version
	w.reader.take(version, text)
	return nil
}
