package upstream_test

import (
	"errors"
	"testing"

	"hornbeamtray/adapter/upstream"
)

// TestHeadScanner guards against bytes that are taken for a head though they are none, and
// against lines that are counted twice, or not at all, because of where the bytes are split.
func TestHeadScanner(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	const open, ended, malformed = "open", "ended", "malformed" // what the head is after the text
	tests := []struct {
		name, text string
		lines      int
		length     int // bytes that belong to the head, or that precede the malformed one; -1 for all
		result     string
	}{
		{"nothing", "", 0, -1, open},
		{"a line without end", "HTTP/1.1 200 OK", 0, -1, open},
		{"one line", status, 1, -1, open},
		{"a head", status + "A: b\r\n\r\n", 2, -1, ended},
		{"line feeds alone", "HTTP/1.1 200 OK\nA: b\n\n", 2, -1, ended},
		{"a body of lines", status + "A: b\r\n\r\n\n\nx\n", 2, 25, ended},
		{"a line of a space", status + "A: b\r\n \r\nB: c\r\n\r\n", 2, 23, malformed},
		{"carriage returns within a line", status + "A: \r\rB\r\n\r\n", 1, 21, malformed},
		{"two carriage returns in a line", status + "A: b\r\n\r\r\nB: c\r\n\r\n", 2, 24, malformed},
		{"a carriage return before other bytes", "\rHTTP/1.1 200 OK\r\n\r\n", 0, 1, malformed},
		{"an empty line at once", "\r\nHTTP/1.1 200 OK\r\n", 0, 1, malformed},
		{"no reason", "HTTP/1.1 200\r\n\r\n", 1, -1, ended},
		{"an empty reason", "HTTP/1.1 200 \r\n\r\n", 1, -1, ended},
		{"an earlier version", "HTTP/1.0 404 Not Found\r\n\r\n", 1, -1, ended},
		{"the highest status", "HTTP/1.1 599 x\r\n\r\n", 1, -1, ended},
		{"an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP", 1, 28, ended},
		{"no status", "HTTP/1.1\r\n", 0, 9, malformed},
		{"half a status", "HTTP/1.1 20\r\n", 0, 12, malformed},
		{"status 000", "HTTP/1.1 000 x\r\n\r\n", 0, 11, malformed},
		{"status 099", "HTTP/1.1 099 x\r\n\r\n", 0, 11, malformed},
		{"status 101", "HTTP/1.1 101 x\r\n\r\n", 0, 11, malformed},
		{"status 600", "HTTP/1.1 600 x\r\n\r\n", 0, 11, malformed},
		{"status 999", "HTTP/1.1 999 x\r\n\r\n", 0, 11, malformed},
		{"status -00", "HTTP/1.1 -00 x\r\n\r\n", 0, 9, malformed},
		{"status +20", "HTTP/1.1 +20 x\r\n\r\n", 0, 9, malformed},
		{"status 2000", "HTTP/1.1 2000 x\r\n\r\n", 0, 12, malformed},
		{"two blanks before the status", "HTTP/1.1  200 OK\r\n\r\n", 0, 9, malformed},
		{"a tab before the status", "HTTP/1.1\t200 OK\r\n\r\n", 0, 8, malformed},
		{"a control byte in the reason", "HTTP/1.1 200 O\x00K\r\n\r\n", 0, 14, malformed},
		{"a later version", "HTTP/2.0 200 OK\r\n\r\n", 0, 5, malformed},
		{"no digit in the version", "HTTP/1.x 200 OK\r\n\r\n", 0, 7, malformed},
		{"small letters", "http/1.1 200 OK\r\n\r\n", 0, 0, malformed},
		{"no protocol", "hello", 0, 0, malformed},
		{"all bytes of a name", status + "!#$%&'*+-.^_`|~09azAZ: \t!~\x80\xff\r\n\r\n", 2, -1, ended},
		{"no value", status + "A:\r\nB: \r\n\r\n", 3, -1, ended},
		{"colons in a value", status + "A::b: c\r\n\r\n", 2, -1, ended},
		{"a blank within a name", status + "A B: c\r\n", 1, 18, malformed},
		{"a blank after a name", status + "A : b\r\n", 1, 18, malformed},
		{"a tab after a name", status + "A\t: b\r\n", 1, 18, malformed},
		{"a blank before the first name", status + " A: b\r\n", 1, 17, malformed},
		{"a blank before another name", status + "A: b\r\n C: d\r\n", 2, 23, malformed},
		{"a tab before another name", status + "A: b\r\n\tC: d\r\n", 2, 23, malformed},
		{"no name", status + ": b\r\n", 1, 17, malformed},
		{"a name alone", status + "A\r\n", 1, 19, malformed},
		{"a null byte in a name", status + "A\x00: b\r\n", 1, 18, malformed},
		{"a carriage return in a name", status + "A\r: b\r\n", 1, 19, malformed},
		{"a delete byte in a name", status + "A\x7f: b\r\n", 1, 18, malformed},
		{"a letter beyond ASCII in a name", status + "A\xe9: b\r\n", 1, 18, malformed},
		{"a bracket in a name", status + "A[: b\r\n", 1, 18, malformed},
		{"an at sign in a name", status + "A@: b\r\n", 1, 18, malformed},
		{"an encoding that HTTP/1.0 lacks", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 1, 34, malformed},
		{"the same in other letters", "HTTP/1.0 200 OK\r\ntransfer-ENCODING: chunked\r\n\r\n", 1, 34, malformed},
		{"the encoding with HTTP/1.1", status + "Transfer-Encoding: chunked\r\n\r\n", 2, -1, ended},
		{"the begin of the name of the encoding", "HTTP/1.0 200 OK\r\nTransfer: x\r\n\r\n", 2, -1, ended},
		{"a longer name", "HTTP/1.0 200 OK\r\nTransfer-Encodings: x\r\n\r\n", 2, -1, ended},
		{"a name that ends alike", "HTTP/1.0 200 OK\r\nX-Transfer-Encoding: x\r\n\r\n", 2, -1, ended},
		{"another name of that length", "HTTP/1.0 200 OK\r\nTransfer+Encoding: x\r\n\r\n", 2, -1, ended},
		{"the encoding after another field", "HTTP/1.0 200 OK\r\nTransfer: x\r\nTransfer-Encoding: chunked\r\n\r\n", 2, 47, malformed},
		{"a control byte in a value", status + "A: b\x01\r\n", 1, 21, malformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			want := tt.length
			if want < 0 {
				want = len(tt.text)
			}
			for first := range len(tt.text) + 1 {
				for second := first; second <= len(tt.text); second++ {
					var h upstream.HeadScanner
					length := 0
					var err error
					for _, part := range []string{tt.text[:first], tt.text[first:second], tt.text[second:]} {
						var n int
						if err == nil {
							n, err = h.Scan([]byte(part))
						}
						length += n
					}
					got := map[bool]string{false: open, true: ended}[h.Done()]
					if errors.Is(err, upstream.ErrMalformed) {
						got = malformed
					}
					if h.Lines() != tt.lines || length != want || got != tt.result {
						t.Fatalf("split at %d and %d: %d lines in %d bytes, %s (%v); want %d in %d, %s", first, second, h.Lines(), length, got, err, tt.lines, want, tt.result)
					}
				}
			}
		})
	}
}
