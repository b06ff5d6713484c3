package upstream_test

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"testing"

	"hornbeamtray/adapter/upstream"
)

// FuzzHeadScanner scans arbitrary heads. Of one that it accepts, net/http sees the same status and
// each line as a field.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA:\r\nA: b\r\n\r\nxx"))
	f.Add([]byte("HTTP/1.0 599\nTransfer-Encoding: chunked\n\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nA: b\r\n c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var h upstream.HeadScanner
		n, err := h.Scan(text)
		if err != nil || !h.Done() {
			return
		}
		reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(text[:n])))
		if _, err := reader.ReadLine(); err != nil {
			t.Fatal(err)
		}
		header, err := reader.ReadMIMEHeader()
		fields := 0
		for _, values := range header {
			fields += len(values)
		}
		if err != nil || fields != h.Lines()-1 {
			t.Errorf("net/http sees %d fields, %v, want %d", fields, err, h.Lines()-1)
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err == nil && upstream.IsFinal(response.StatusCode) == h.Interim() {
			t.Errorf("net/http sees status %d, interim: %t", response.StatusCode, h.Interim())
		}
	})
}
