package pool

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
)

// readHeads reads responses from a text through the limits of a connection until one can't be
// read. It returns their statuses and header lines, and the first error.
func readHeads(source io.Reader, maxBytes int64, maxLines int) (statuses []int, lines int, err error) {
	limited := &limitedReader{source: source}
	c := &Conn{limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}
	c.LimitReads(maxBytes, maxLines)
	for {
		response, err := c.ReadResponse(&http.Request{Method: http.MethodGet})
		if err != nil {
			return statuses, lines, err
		}
		statuses, lines = append(statuses, response.StatusCode), lines+1
		for _, values := range response.Header {
			lines += len(values)
		}
		if response.StatusCode >= 200 {
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
				return statuses, lines, err
			}
		}
	}
}

// FuzzReadResponse reads responses from arbitrary bytes. Their heads never have more lines
// than allowed, and the same ones are read however the bytes are split.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\n\nHTTP/1.1 204 No Content\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\nA: b\n\nHTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n1\r\n\n\r\n0\r\nT: u\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\r\n \r\n\r\nx"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\n\r\n"))
	f.Add([]byte("\r\nHTTP/1.0 200\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		const maxBytes, maxLines = 8 << 10, 8
		statuses, lines, err := readHeads(bytes.NewReader(text), maxBytes, maxLines)
		if lines > maxLines {
			t.Errorf("heads with %d lines were read, want at most %d", lines, maxLines)
		}
		if err == nil && len(statuses) == 0 {
			t.Error("neither a head nor an error")
		}
		again, lines2, _ := readHeads(iotest.OneByteReader(bytes.NewReader(text)), maxBytes, maxLines)
		if len(text) < readBufferBytes && (len(again) < len(statuses) || lines2 < lines) {
			t.Errorf("%d heads with %d lines were read byte by byte, want those %d with %d that were read at once", len(again), lines2, len(statuses), lines)
		}
	})
}
