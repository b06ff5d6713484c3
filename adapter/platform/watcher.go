// Package platform reads what the platform publishes, directly or through peers
// that relay it. It never writes to the platform.
//
// It offers each publication to the process; the core decides whether an offered
// configuration takes effect.
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
	"hornbeamtray/adapter/upstream"
)

const (
	// VersionHeader carries the version of a publication.
	VersionHeader = "Tray-Version"
	// MaxPublicationBytes bounds the size of a publication.
	MaxPublicationBytes = 1 << 20
	// ConfigurationPath is where configurations are published.
	ConfigurationPath = "/v1/configuration"
	// InstancesPath is where the list of instances is published.
	InstancesPath = "/v1/instances"

	watchTimeout = 30 * time.Second
	readTimeout  = watchTimeout + 5*time.Second
	dialTimeout  = time.Second
	maxHeadBytes = 64 << 10 // of a response
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// reader handles the results of a watcher's reads.
type reader interface {
	// received handles a publication newer than the last.
	received(version uint64, text []byte)
	// unchanged handles a read that found nothing newer.
	unchanged()
	// failed handles an error from reading the source.
	failed(err error)
}

// watcher follows one source by long polling: the source holds each request until
// it has a newer version or the wait is over.
type watcher struct {
	tomb    tomb.Tomb
	url     string
	query   url.Values
	client  *http.Client
	reader  reader
	version uint64        // owned by run; the highest version read or skipped, with or without faults
	wait    time.Duration // owned by run; how long the source may hold the next read; 0 for the first

	mu        sync.Mutex
	skippedTo uint64             // guarded by mu; the highest version received from another source
	cancel    context.CancelFunc // guarded by mu; cancels the read in progress
}

// skip records that a version was received from another source, so that this one
// need not send it. It cancels the read in progress.
func (w *watcher) skip(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.skippedTo {
		return
	}
	w.skippedTo = version
	if w.cancel != nil {
		w.cancel()
	}
}

// beginRead returns the context of one read and its cancel function. It also
// advances w.version past the versions to skip.
func (w *watcher) beginRead(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.cancel = context.WithCancel(ctx)
	w.version = max(w.version, w.skippedTo)
	return ctx, w.cancel
}

// skipped reports whether skip was called with a version newer than w.version
// since the read began.
func (w *watcher) skipped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.skippedTo > w.version
}

func newWatcher(source, path string, query url.Values, local net.IP, reader reader) *watcher {
	w := &watcher{url: source + path, query: query, client: newClient(local), reader: reader}
	w.tomb.Go(w.run)
	return w
}

// newClient returns a client whose connections originate from local, so that the
// network can distinguish instances, or from any address if local is nil.
func newClient(local net.IP) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	transport := upstream.NewTransport(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHeadBytes})
	return &http.Client{Timeout: readTimeout, Transport: transport}
}

// Close stops the watcher and waits until it has stopped.
func (w *watcher) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

func (w *watcher) run() error {
	ctx := w.tomb.Context(context.Background())
	backoff := minBackoff
	for w.tomb.Alive() {
		reading, cancel := w.beginRead(ctx)
		err := w.read(reading)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		if err == nil || w.skipped() {
			w.wait, backoff = watchTimeout, minBackoff
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

// read makes one request, which returns when the source has a publication newer
// than the last or the wait is over.
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
		return trace.ConnectionProblem(err, "%s can't be read; the last publication read stays in force", w.url)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNotModified:
		w.reader.unchanged()
		return nil
	case http.StatusOK:
		return w.accept(response)
	default:
		return trace.ConnectionProblem(nil, "%s answered %s; the last publication read stays in force", w.url, response.Status)
	}
}

func (w *watcher) accept(response *http.Response) error {
	version, err := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	if err != nil || version == 0 {
		return trace.BadParameter("%s sent no valid version; check the address", w.url)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxPublicationBytes+1))
	if err != nil {
		return trace.ConnectionProblem(err, "the response of %s was truncated; it will be read again", w.url)
	}
	if len(text) > MaxPublicationBytes {
		return trace.LimitExceeded("the publication is over %d bytes; publish a smaller one", MaxPublicationBytes)
	}
	if version <= w.version {
		return trace.CompareFailed("%s went back from version %d to %d; the newer one stays in force", w.url, w.version, version)
	}
	w.version = version
	w.reader.received(version, text)
	return nil
}
