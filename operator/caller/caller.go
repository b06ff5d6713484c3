// Package caller sends requests to an entry instance as any caller would, and
// tells a whole answer from one that was cut.
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

	maxIdle  = 1024
	slowRead = 256 // bytes read at once by a slow reader
)

var client = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost: maxIdle, DisableCompression: true,
	DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		socket.LimitBuffers(conn) // a slow reader is felt at once
		return conn, nil
	},
}}

// Request is one request.
type Request struct {
	URL    string
	Key    string
	Ticket string // Ticket is empty, or one fetched before.
	Body   string
	Pause  time.Duration // Pause is waited before each read, to read slowly.
}

// Answer is what came back.
type Answer struct {
	Status int
	Number string // Number is the request's.
	Ticket string
	Body   string
	Whole  bool          // Whole is false where the answer was cut short.
	First  time.Duration // First is the time to the answer's first byte.
	Total  time.Duration // Total is the time to its last byte.
}

// Accepted reports whether the request was answered rather than refused.
func (a Answer) Accepted() bool {
	return a.Whole && a.Status < http.StatusBadRequest
}

// Ran returns what a refusal says about the run, "" where the answer is none.
func (a Answer) Ran() string {
	var body struct {
		Ran string `json:"ran"`
	}
	if a.Accepted() || json.Unmarshal([]byte(a.Body), &body) != nil {
		return ""
	}
	return body.Ran
}

// Send sends a request and takes the answer. The error tells of a connection
// that failed; the part of the answer that came stands in Answer.
func Send(ctx context.Context, r Request) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.URL, strings.NewReader(r.Body))
	if err != nil {
		return Answer{}, trace.BadParameter("%q is not a URL; write it as http://10.0.0.1:7400", r.URL)
	}
	started := time.Now()
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+r.Key)
	if r.Ticket != "" {
		request.Header.Set(ticketHeader, r.Ticket)
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, trace.ConnectionProblem(err, "the entry instance gave no answer; the outcome is not known")
	}
	defer response.Body.Close()
	answer := Answer{Status: response.StatusCode, Number: response.Header.Get(requestHeader), Ticket: response.Header.Get(ticketHeader)}
	reader := &reader{body: response.Body, pause: r.Pause}
	body, err := io.ReadAll(reader)
	answer.Body, answer.Total = string(body), time.Since(started)
	if !reader.first.IsZero() {
		answer.First = reader.first.Sub(started)
	}
	if err != nil {
		return answer, trace.ConnectionProblem(err, "the answer was cut after %d bytes; repeat it with its ticket", len(body))
	}
	answer.Whole = whole(response, len(body))
	return answer, nil
}

// reader notes when the first byte came, and reads as slowly as it is told to.
type reader struct {
	body  io.Reader
	pause time.Duration
	first time.Time
}

// Read reads after the pause.
func (r *reader) Read(p []byte) (int, error) {
	if r.pause > 0 {
		time.Sleep(r.pause)
		p = p[:min(len(p), slowRead)]
	}
	n, err := r.body.Read(p)
	if n > 0 && r.first.IsZero() {
		r.first = time.Now()
	}
	return n, err
}

// whole reports whether the answer has its end mark. Answers that are not
// streamed carry their length before them instead.
func whole(response *http.Response, length int) bool {
	mark := response.Trailer.Get(lengthTrailer)
	return response.ContentLength == int64(length) || mark == strconv.Itoa(length)
}
