package pool

import "testing"

// TestHeadScanner guards against lines that are counted twice, or not at all, because of where
// the bytes of a head are split.
func TestHeadScanner(t *testing.T) {
	tests := []struct {
		name, text string
		lines      int
		open       bool
	}{
		{"nothing", "", 0, true},
		{"a line without end", "HTTP/1.1 200 OK", 0, true},
		{"one line", "HTTP/1.1 200 OK\r\n", 1, true},
		{"a head", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", 2, false},
		{"line feeds alone", "HTTP/1.1 200 OK\nA: b\n\n", 2, false},
		{"a body of lines", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n\n\nx\n", 2, false},
		{"a line of a space", "A\r\n \r\nB\r\n\r\n", 3, false},
		{"carriage returns within a line", "A\r\rB\r\n\r\n", 1, false},
		{"two carriage returns in a line", "A\r\n\r\r\nB\r\n\r\n", 3, false},
		{"a carriage return before other bytes", "\rA\r\n\r\n", 1, false},
		{"an empty line at once", "\r\nA\r\n", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for first := range len(tt.text) + 1 {
				for second := first; second <= len(tt.text); second++ {
					h := headScanner{open: true}
					lines := 0
					for _, part := range []string{tt.text[:first], tt.text[first:second], tt.text[second:]} {
						lines += h.scan([]byte(part))
					}
					if lines != tt.lines || h.open != tt.open {
						t.Fatalf("split at %d and %d: %d lines, open: %t; want %d, %t", first, second, lines, h.open, tt.lines, tt.open)
					}
				}
			}
		})
	}
}
