package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/socket"
	"hornbeamtray/adapter/upstream"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
	maxLoadBytes  = 64 << 10
)

// Observer receives the results of a Probe.
type Observer interface {
	// Reached reports whether the target answered the latest probe.
	Reached(reached bool)
	// Restarted reports that the target's process was replaced by another.
	Restarted(cause string)
	// Loaded reports what the engine has loaded, as it reported in reply to a query
	// sent at time asked.
	Loaded(load string, asked time.Time)
}

// Probe checks one target periodically over a persistent connection. The end of
// the connection triggers a probe at once, so that the end of the target's process
// is detected without delay, even while no request is running.
type Probe struct {
	tomb     tomb.Tomb
	url      string
	http     *http.Client
	observer Observer
	connLost chan struct{} // capacity 1; receives a value when the connection ends
	bootID   string        // identifies the target's process; accessed only by run
}

// NewProbe starts probing the target at url, until Close.
func NewProbe(url string, observer Observer) *Probe {
	p := &Probe{url: url + "/load", observer: observer, connLost: make(chan struct{}, 1)}
	dialer := &net.Dialer{} // needs no timeout: that of the HTTP client also covers dialing
	p.http = &http.Client{Timeout: probeTimeout, Transport: upstream.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			socket.LimitBuffers(conn)
			return &watchedConn{Conn: conn, ended: p.connLost}, nil
		},
	})}
	p.tomb.Go(p.run)
	return p
}

// Close stops the probe and waits for it to end.
func (p *Probe) Close() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

func (p *Probe) run() error {
	defer p.http.CloseIdleConnections()
	ctx := p.tomb.Context(context.Background())
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		p.probe(ctx)
		select {
		case <-ticker.C:
		case <-p.connLost:
		case <-p.tomb.Dying():
			return nil
		}
	}
}

func (p *Probe) probe(ctx context.Context) {
	asked := time.Now()
	load, err := p.fetchLoad(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil && p.bootID != "" && load.Boot != p.bootID {
		p.observer.Restarted("the target's process was replaced")
	}
	if err == nil {
		p.bootID = load.Boot
		p.observer.Loaded(load.Loaded, asked)
	}
	p.observer.Reached(err == nil)
}

// loadReply is a target's response to GET /load; absent members stay empty.
type loadReply struct {
	Boot   string `json:"boot"`   // unique to the target's process
	Loaded string `json:"loaded"` // the model, adapter and version that are loaded
}

func (p *Probe) fetchLoad(ctx context.Context) (loadReply, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return loadReply{}, trace.Wrap(err)
	}
	response, err := p.http.Do(request)
	if err != nil {
		return loadReply{}, trace.ConnectionProblem(err, "the target can't be reached; check that it runs")
	}
	defer response.Body.Close()
	var published loadReply
	body := &io.LimitedReader{R: response.Body, N: maxLoadBytes}
	err = json.NewDecoder(body).Decode(&published)
	if brokeOff(err) && body.N > 0 {
		return loadReply{}, trace.ConnectionProblem(err, "the connection to the target failed before its answer was complete")
	}
	return published, nil // a target that answers without reporting what it has loaded counts as reachable too
}

// brokeOff reports whether an error of decoding JSON means that its text ended too early.
func brokeOff(err error) bool {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	return err != nil && !errors.Is(err, io.EOF) && !errors.As(err, &syntax) && !errors.As(err, &mismatch)
}

// watchedConn is a connection that signals its end on ended.
type watchedConn struct {
	net.Conn
	ended chan struct{}
}

// NetConn returns the underlying connection.
func (c *watchedConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. Any error counts as the end of the connection.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		select {
		case c.ended <- struct{}{}:
		default:
		}
	}
	return n, err
}
