package upstream_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hornbeamtray/adapter/upstream"
	"hornbeamtray/adapter/upstream/upstreamtest"
)

// afterWhole returns a handler that sends a whole response to the first request on each connection
// if kept is set, and text to the others.
func afterWhole(kept bool, text string) upstreamtest.Handler {
	return func(conn *net.TCPConn, _ *http.Request, n int) bool {
		answer := text
		if kept && n == 0 {
			answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
		}
		_, _ = io.WriteString(conn, answer)
		return true
	}
}

// TestMalformedResponses guards against bytes that net/http takes for a response though they are
// none, against a request that net/http then sends again, and against another one on the connection.
func TestMalformedResponses(t *testing.T) {
	const length = "Content-Length: 5\r\n\r\nhello"
	tests := []struct{ name, text string }{
		{"no protocol", "hello\r\n\r\n"},
		{"status 000", "HTTP/1.1 000 x\r\n" + length},
		{"status 600", "HTTP/1.1 600 x\r\n" + length},
		{"a later version", "HTTP/2.0 200 OK\r\n" + length},
		{"status 000 after interim responses", "HTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 102 x\r\n\r\nHTTP/1.1 000 x\r\n" + length},
	}
	for _, tt := range tests {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept: %t", tt.name, kept), func(t *testing.T) {
				server := upstreamtest.NewServer(t, afterWhole(kept, tt.text))
				transport := upstream.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
				defer transport.CloseIdleConnections()
				client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
				sent := int64(1)
				if kept {
					sent++
					if text, err := get(client, server.URL()); text != "hello" || err != nil {
						t.Fatalf("the first response is %q, %v", text, err)
					}
				}
				if text, err := get(client, server.URL()); !errors.Is(err, upstream.ErrMalformed) {
					t.Errorf("the response is %q, %v; want ErrMalformed", text, err)
				}
				if server.Requests() != sent || server.Connections() != 1 {
					t.Errorf("the server received %d requests on %d connections, want %d on 1", server.Requests(), server.Connections(), sent)
				}
				_, _ = get(client, server.URL())
				if server.Connections() != 2 {
					t.Errorf("the next request came on connection %d, want another", server.Connections())
				}
			})
		}
	}
}

// TestMalformedHeadInSegments guards against a malformed head that is accepted without its
// malformed part, or awaited further, because it arrives in segments.
func TestMalformedHeadInSegments(t *testing.T) {
	const length = "Content-Length: 5\r\n\r\nhello"
	tests := []struct {
		name     string
		segments []string
	}{
		{"a control byte within a value", []string{"HTTP/1.1 200 OK\r\nA: x", "\x01y", "\r\n" + length}},
		{"a control byte at the end of a value", []string{"HTTP/1.1 200 OK\r\nA: x", "\x01", "\r\n" + length}},
		{"a folded line", []string{"HTTP/1.1 200 OK\r\nA: x\r\n", " B: y\r\n", length}},
		{"a control byte in the reason", []string{"HTTP/1.1 200 O", "\x01K", "\r\n" + length}},
		{"the same in one segment", []string{"HTTP/1.1 200 O\x01K", "\r\n" + length}},
		{"the same, nothing follows", []string{"HTTP/1.1 200 O\x01K"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := upstreamtest.NewServer(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
				upstreamtest.WriteSegments(conn, tt.segments...)
				return true
			})
			transport := upstream.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
			defer transport.CloseIdleConnections()
			text, err := get(&http.Client{Transport: transport, Timeout: 2 * time.Second}, server.URL())
			if !errors.Is(err, upstream.ErrMalformed) {
				t.Errorf("the response is %q, %v; want ErrMalformed", text, err)
			}
		})
	}
}

// TestResponsesOnOneConnection guards against bytes of a body that are taken for a head.
func TestResponsesOnOneConnection(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	tests := []struct{ name, text, body string }{
		{"a length", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n\r\n000\r\n", "\r\n000\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n\nx y:\r\n0\r\n\r\n", "\nx y:"},
		{"interim responses", interim + interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\n\n", "\n\n"},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := upstreamtest.NewServer(t, afterWhole(false, tt.text))
			transport := upstream.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
			defer transport.CloseIdleConnections()
			for range 3 {
				if text, err := get(&http.Client{Transport: transport}, server.URL()); text != tt.body || err != nil {
					t.Errorf("the response is %q, %v; want %q", text, err, tt.body)
				}
			}
			if server.Connections() != 1 {
				t.Errorf("three requests took %d connections, want 1", server.Connections())
			}
		})
	}
}

// TestOtherScheme guards against a redirect to a connection whose responses can't be checked.
func TestOtherScheme(t *testing.T) {
	server := upstreamtest.NewServer(t, afterWhole(false, "HTTP/1.1 302 Found\r\nLocation: https://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n"))
	transport := upstream.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
	defer transport.CloseIdleConnections()
	if text, err := get(&http.Client{Transport: transport}, server.URL()); err == nil || server.Requests() != 1 || server.Connections() != 1 {
		t.Errorf("the response is %q after %d requests on %d connections, want an error after one", text, server.Requests(), server.Connections())
	}
}

// get returns the body of a response.
func get(client *http.Client, url string) (string, error) {
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}
