// Package engine calls the target, a model engine or a plain service, over HTTP.
// It sends each call once and never retries.
package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"hornbeamtray/adapter/socket"
	"hornbeamtray/adapter/upstream"
	"hornbeamtray/agent/answer"
	"hornbeamtray/agent/serve"
	"hornbeamtray/core/order"
)

// Headers of requests to the target.
const (
	RequestHeader = "Tray-Request"
	AttemptHeader = "Tray-Attempt"
	OffsetHeader  = "Tray-Offset"
	FenceHeader   = "Tray-Fence" // FenceHeader carries an order's fencing number, as version.count.
)

const (
	// The target runs on the same instance as its agent. If its process has ended,
	// the connection is refused at once; a busy target may be slow to accept.
	dialTimeout     = 5 * time.Second
	readBufferBytes = 8 << 10
	maxHeadBytes    = 64 << 10
	maxReplyBytes   = 64 << 10 // of the answer to an order
	maxTypeBytes    = 1 << 10  // of a Content-Type, which kept answers hold beside their bytes
)

// Client sends calls and orders to one target.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the target at url.
func New(url string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := upstream.NewTransport(&http.Transport{
		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &dialError{err}
			}
			socket.LimitBuffers(conn)
			if w, ok := ctx.Value(witnessKey{}).(*witness); ok {
				w.open(conn, func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, network, address) })
			}
			return conn, nil
		},
		DisableCompression: true,
		// Each call uses a new connection. If the target closed an idle connection
		// just as a call was sent on it, the outcome of the call would be unknown.
		DisableKeepAlives: true,
	})
	return &Client{url: url, http: &http.Client{
		Transport: transport,
		// A redirect is the target's answer: to follow it would be a second call.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Run makes one call and writes its answer to sink. The error wraps
// serve.ErrNotSent if no byte of the call was sent.
func (c *Client) Run(ctx context.Context, call serve.Call, sink serve.Sink) error {
	w := &witness{}
	defer w.Close()
	ctx = context.WithValue(ctx, witnessKey{}, w)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/"+call.Name, bytes.NewReader(call.Body))
	if err != nil {
		return trace.Wrap(serve.ErrNotSent, "%s", err)
	}
	request.GetBody = nil // prevents the transport from retrying the request
	request.Header.Set("Content-Type", call.ContentType)
	request.Header.Set(RequestHeader, call.ID)
	request.Header.Set(AttemptHeader, strconv.Itoa(call.Attempt))
	if call.Offset > 0 {
		request.Header.Set(OffsetHeader, strconv.FormatUint(call.Offset, 10))
	}
	response, err := c.http.Do(request)
	if err != nil {
		var dial *dialError
		if errors.As(err, &dial) {
			return trace.Wrap(serve.ErrNotSent, "%s", err)
		}
		return trace.ConnectionProblem(err, "the target sent no response")
	}
	defer response.Body.Close()
	contentType := response.Header.Get("Content-Type")
	if len(contentType) > maxTypeBytes {
		return trace.BadParameter("the Content-Type of the answer has %d bytes, over the limit of %d", len(contentType), maxTypeBytes)
	}
	sink.Begin(answer.Head{Status: response.StatusCode, ContentType: contentType})
	if err := copyAnswer(ctx, response.Body, sink); err != nil {
		return err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !w.stands() {
		return trace.ConnectionProblem(nil, "the answer ended with its connection, and nothing shows that the target still runs")
	}
	return nil
}

func copyAnswer(ctx context.Context, body io.Reader, sink serve.Sink) error {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := sink.Write(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return trace.ConnectionProblem(err, "the connection to the target failed during the answer")
		}
	}
}

// Order asks the engine to load o.Load. It sends the fencing number too, so that an
// engine that supports fencing can reject a stale order.
func (c *Client) Order(ctx context.Context, o order.Order) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.url+"/load", strings.NewReader(o.Load))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set(FenceHeader, fmt.Sprintf("%d.%d", o.Fence.Version, o.Fence.Count))
	response, err := c.http.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "the engine did not respond to an order; check that it runs")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return trace.CompareFailed("the engine rejected an order with status %s", response.Status)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes)); err != nil {
		return trace.ConnectionProblem(err, "the connection to the engine failed before its answer to an order was complete")
	}
	return nil
}

// dialError is a failure to connect; no byte of the call was sent.
type dialError struct{ error }

// Unwrap returns the error of the dialer.
func (u *dialError) Unwrap() error { return u.error }
