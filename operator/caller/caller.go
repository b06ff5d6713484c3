// Package caller is an HTTP client for the service API of entry instances. It
// detects answers that were cut short.
package caller

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"hornbeamtray/adapter/socket"
)

const (
	requestHeader = "Tray-Request"
	ticketHeader  = "Tray-Ticket"
	lengthTrailer = "Tray-Length"

	maxIdleConns  = 1024
	slowReadBytes = 256 // most bytes per read when Request.Pause is set

	maxHeadBytes   = 64 << 10
	maxAnswerBytes = 256 << 20 // kept in memory
)

var client = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxHeadBytes, DisableCompression: true,
	DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		socket.LimitBuffers(conn) // with small socket buffers, a slow reader soon blocks the sender
		return conn, nil
	},
}}

// Request is a service call or a ticket request.
type Request struct {
	URL    string
	Key    string
	Ticket string // Ticket is a ticket fetched earlier, or empty.
	Body   string
	Pause  time.Duration // Pause is the delay before each read of the answer; 0 reads at full speed.
}

// Answer is the response to a request, or the part that arrived.
type Answer struct {
	Status          int
	RequestID       string // RequestID is the Tray-Request header, the ID that the instance gave the request.
	Ticket          string
	Body            string
	Whole           bool          // Whole reports whether the complete answer arrived.
	TimeToFirstByte time.Duration // TimeToFirstByte is measured from sending to the first byte of the body.
	Total           time.Duration // Total is measured from sending to the last byte of the body.
}

// Accepted reports whether the answer is whole and its status is below 400.
func (a Answer) Accepted() bool {
	return a.Whole && a.Status < http.StatusBadRequest
}

// Ran returns the member "ran" of a refusal: "no", "yes" or "unknown". It returns
// "" for any other answer.
func (a Answer) Ran() string {
	var body struct {
		Ran string `json:"ran"`
	}
	if a.Accepted() || json.Unmarshal([]byte(a.Body), &body) != nil {
		return ""
	}
	return body.Ran
}

// Send sends r and reads the answer. It returns an error if r.URL is not a URL or
// the connection fails; Answer then holds the part that arrived. A refusal is not
// an error.
func Send(ctx context.Context, r Request) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.URL, strings.NewReader(r.Body))
	if err != nil {
		return Answer{}, trace.BadParameter("%q is not a URL; write it as http://10.0.0.1:7400", r.URL)
	}
	started := time.Now()
	request.GetBody = nil // prevents the transport from retrying the request
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+r.Key)
	if r.Ticket != "" {
		request.Header.Set(ticketHeader, r.Ticket)
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, trace.ConnectionProblem(err, "the entry instance did not answer; the outcome is not known")
	}
	defer response.Body.Close()
	answer := Answer{Status: response.StatusCode, RequestID: response.Header.Get(requestHeader), Ticket: response.Header.Get(ticketHeader)}
	reader := &reader{body: response.Body, pause: r.Pause}
	body, err := io.ReadAll(io.LimitReader(reader, maxAnswerBytes))
	answer.Body, answer.Total = string(body), time.Since(started)
	if !reader.first.IsZero() {
		answer.TimeToFirstByte = reader.first.Sub(started)
	}
	if err != nil {
		return answer, trace.ConnectionProblem(err, "the connection failed after %d bytes of the answer; repeat the request with its ticket", len(body))
	}
	answer.Whole = whole(response, len(body))
	return answer, nil
}

// reader records when the first byte arrives, and delays each read by pause.
type reader struct {
	body  io.Reader
	pause time.Duration
	first time.Time
}

// Read implements io.Reader. If pause is set, it reads at most slowReadBytes.
func (r *reader) Read(p []byte) (int, error) {
	if r.pause > 0 {
		time.Sleep(r.pause)
		p = p[:min(len(p), slowReadBytes)]
	}
	n, err := r.body.Read(p)
	if n > 0 && r.first.IsZero() {
		r.first = time.Now()
	}
	return n, err
}

// whole reports whether length, the number of bytes read, equals the length that
// the response declares: in Content-Length, or in a trailer if it was streamed.
func whole(response *http.Response, length int) bool {
	trailer := response.Trailer.Get(lengthTrailer)
	return response.ContentLength == int64(length) || trailer == strconv.Itoa(length)
}
