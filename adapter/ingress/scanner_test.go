package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// scanAll feeds text to a scanner in pieces of the given sizes, of which the last one repeats.
// It returns what the scanner passes on.
func scanAll(s *scanner, text []byte, sizes ...int) (passed []byte, ended bool) {
	for i := 0; len(text) > 0; i++ {
		size := min(len(text), max(1, sizes[min(i, len(sizes)-1)]))
		piece := bytes.Clone(text[:size])
		text = text[size:]
		pass, rest := s.feed(piece)
		passed = append(passed, piece[:pass]...)
		if s.ended {
			return passed, true
		}
		if rest != 0 {
			panic("bytes are left before the end of the head")
		}
	}
	return passed, false
}

func TestScanner(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		passed string
		lines  int
		empty  int
		ended  bool
	}{
		{"nothing", "", "", 0, 0, false},
		{"a head", "GET / HTTP/1.1\r\nHost: h\r\n\r\nnext", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3, 0, true},
		{"bare newlines", "GET / HTTP/1.1\nHost: h\n\nnext", "GET / HTTP/1.1\nHost: h\n\n", 3, 0, true},
		{"no header lines", "GET / HTTP/1.0\r\n\r\nnext", "GET / HTTP/1.0\r\n\r\n", 2, 0, true},
		{"unfinished line", "GET / HTTP/1.1\r\nHost", "GET / HTTP/1.1\r\nHost", 1, 0, false},
		{"empty lines before", "\r\n\n\r\nGET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.0\r\n\r\n", 2, 3, true},
		{"only empty lines", "\r\n\r\n", "", 0, 2, false},
		{"a line of a space is a continuation", "GET / HTTP/1.1\r\na: b\r\n \r\nc: d\r\n\r\n", "GET / HTTP/1.1\r\na: b\r\n \r\nc: d\r\n\r\n", 5, 0, true},
		{"two carriage returns are no empty line", "GET / HTTP/1.1\r\n\r\r\nc: d\r\n\r\n", "GET / HTTP/1.1\r\n\r\r\nc: d\r\n\r\n", 4, 0, true},
		{"no colon, control bytes", "GET / HTTP/1.1\r\nxyz\r\n\x00\x01\r\n\r\n", "GET / HTTP/1.1\r\nxyz\r\n\x00\x01\r\n\r\n", 4, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, 1000} {
				var s scanner
				passed, ended := scanAll(&s, []byte(tt.text), size)
				if string(passed) != tt.passed || ended != tt.ended || s.lines != tt.lines || s.empty != tt.empty || s.bytes != len(tt.passed) {
					t.Errorf("in pieces of %d: passed %q, ended %t, %+v; want %q, %t, %d lines, %d empty", size, passed, ended, s, tt.passed, tt.ended, tt.lines, tt.empty)
				}
			}
		})
	}
}

// TestScannerOfPartialHead guards against the end of a head that is taken for an empty line
// before one, when net/http holds the beginning of the head.
func TestScannerOfPartialHead(t *testing.T) {
	tests := []struct {
		name, text, passed string
		ended              bool
	}{
		{"the end of a line", "\r\n\r\nnext", "\r\n\r\n", true},
		{"the end of a head after its newline", "\n\r\nnext", "\n\r\n", true},
		{"one byte", "\n", "\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := partialScanner()
			if passed, ended := scanAll(&s, []byte(tt.text), len(tt.text)); string(passed) != tt.passed || ended != tt.ended {
				t.Errorf("passed %q, ended %t; want %q, %t", passed, ended, tt.passed, tt.ended)
			}
		})
	}
}

// TestScannerSplits checks that the scanner passes on exactly the bytes that arrived, but for
// empty lines before the head, however they are split into reads.
func TestScannerSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"\r\n", "\n", "\r", " ", "a: b", "GET / HTTP/1.1", "\x00", "x"}), 1, 40).Draw(t, "pieces"), ""))
		var whole, split scanner
		wantPassed, wantEnded := scanAll(&whole, text, len(text))
		if want := bytes.TrimLeft(text, "\r\n"); !bytes.HasPrefix(want, wantPassed) || !wantEnded && len(want) != len(wantPassed) {
			t.Fatalf("passed %q of %q", wantPassed, text)
		}
		passed, ended := scanAll(&split, text, rapid.SliceOfN(rapid.IntRange(1, 10), 1, 20).Draw(t, "sizes")...)
		if !bytes.Equal(passed, wantPassed) || ended != wantEnded || split != whole {
			t.Fatalf("passed %q, %+v in pieces; want %q, %+v", passed, split, wantPassed, whole)
		}
	})
}

// FuzzHead checks the end of a head against net/http: whatever net/http accepts as a request
// must end where the scanner says.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET", "\r\n\nPOST /a HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc",
		"GET / HTTP/1.1\r\na: b\r\n \r\n\tc\r\n\r\n\r\n", "GET / HTTP/1.0\r\n\r\r\n\r\n", "GET / HTTP/1.1\r\n x: y\r\n\r\n", "\r\rGET / HTTP/1.0\n\n",
	} {
		f.Add([]byte(seed), 7)
	}
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		var whole, split scanner
		passed, ended := scanAll(&whole, text, len(text))
		again, endedAgain := scanAll(&split, text, size)
		if !bytes.Equal(passed, again) || ended != endedAgain || whole != split {
			t.Fatalf("passed %q, %+v in pieces of %d; want %q, %+v", again, split, size, passed, whole)
		}
		sent := bytes.TrimLeft(text, "\r\n")
		reader := bytes.NewReader(sent)
		buffered := bufio.NewReader(reader)
		if _, err := http.ReadRequest(buffered); err != nil {
			return
		}
		left, err := io.ReadAll(buffered)
		if err != nil {
			t.Fatal(err)
		}
		if head := sent[:len(sent)-len(left)]; !ended || !bytes.Equal(passed, head) {
			t.Fatalf("passed %q, ended %t; net/http takes %q for the head", passed, ended, head)
		}
	})
}

func BenchmarkScanner(b *testing.B) {
	tests := []struct {
		name string
		head string
	}{
		{"ordinary", ordinaryHead},
		{"lines of 3 bytes", shortLines(16384)},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			buffer := []byte(tt.head)
			b.SetBytes(int64(len(buffer)))
			b.ReportAllocs()
			for b.Loop() {
				var s scanner
				for rest := buffer; len(rest) > 0; rest = rest[min(len(rest), keptBytes):] {
					s.feed(rest[:min(len(rest), keptBytes)])
				}
				if !s.ended {
					b.Fatal("the head has no end")
				}
			}
		})
	}
}

const ordinaryHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: models.example\r\nUser-Agent: client/2.1\r\nAccept: */*\r\n" +
	"Authorization: Token 0123456789abcdef\r\nRequest-Id: d8b4f9f9efe186ac\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\n" +
	"Prompt-Prefix: 5c1e:800,91bd:410,e4:250\r\n\r\n"

// shortLines returns a head with header lines of 3 bytes, size bytes of them together.
func shortLines(size int) string {
	return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", (size-len("Host: h\r\n"))/3) + "\r\n"
}
