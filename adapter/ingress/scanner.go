package ingress

import "bytes"

// line states of a scanner.
const (
	lineEmpty    = iota // no byte of the line yet
	lineReturn          // only a carriage return
	lineNotEmpty        // any other byte
)

// scanner follows the bytes of one head and finds its end. The zero value expects the first
// byte of a request on a connection of which net/http holds no other bytes.
type scanner struct {
	bytes   int // of the head
	lines   int // that ended
	skipped int // bytes of empty lines before the head, or -1 if none are skipped
	empty   int // empty lines before the head
	line    int // state of the current line
	ended   bool
}

// partialScanner returns a scanner for a head of which net/http may hold the beginning.
// It skips no empty lines, since an empty line may be the end of the head.
func partialScanner() scanner {
	return scanner{line: lineNotEmpty, skipped: -1}
}

// begun reports whether any byte of the head arrived.
func (s *scanner) begun() bool { return s.bytes > 0 || s.skipped > 0 }

// tooManyEmpty reports whether too many empty lines arrived before the head. Lone carriage
// returns count as halves of empty lines.
func (s *scanner) tooManyEmpty() bool {
	return s.empty > maxEmptyLines || s.skipped > 2*maxEmptyLines
}

// feed takes the next bytes. It moves those to pass on to the front of p and returns their
// number. They are followed in p by rest bytes that lie beyond the end of the head, if
// it ended.
func (s *scanner) feed(p []byte) (pass, rest int) {
	if s.bytes == 0 && s.skipped >= 0 {
		n := s.skip(p)
		copy(p, p[n:])
		p = p[:len(p)-n]
	}
	for pass < len(p) {
		length := bytes.IndexByte(p[pass:], '\n')
		if length < 0 {
			s.extend(p[pass:])
			pass = len(p)
			break
		}
		s.extend(p[pass : pass+length])
		pass += length + 1
		s.lines++
		blank := s.line != lineNotEmpty
		s.line = lineEmpty
		if blank {
			s.ended = true
			break
		}
	}
	s.bytes += pass
	return pass, len(p) - pass
}

// skip returns the number of bytes of empty lines at the beginning of p.
func (s *scanner) skip(p []byte) int {
	for n, b := range p {
		switch b {
		case '\n':
			s.empty++
		case '\r':
		default:
			return n
		}
		s.skipped++
	}
	return len(p)
}

// extend updates the state of the current line, which goes on with p.
func (s *scanner) extend(p []byte) {
	switch {
	case len(p) == 0:
	case s.line == lineEmpty && len(p) == 1 && p[0] == '\r':
		s.line = lineReturn
	default:
		s.line = lineNotEmpty
	}
}
