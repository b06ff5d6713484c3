package crowd

import (
	"fmt"
	"strings"
	"time"
)

// Published limits of the platform.
const (
	maxHeaderBytes = 16384
	maxBodyBytes   = 4194304
)

// flow is what each member of a crowd sends on each of its connections.
type flow struct {
	first string        // sent at once
	next  string        // sent again and again after it; none if empty
	pause time.Duration // between two of next; zero for full speed
}

// door is an address of a program at which crowds arrive, and a request that it takes.
type door struct {
	addresses []string // of one program; members of a crowd use them in turn
	start     string   // request line and fields of a request, without its framing
	body      string   // of the request
	maxBody   int      // limit on a body in bytes
}

// head returns the request line and all fields of the request.
func (d door) head() string { return fmt.Sprintf("%sContent-Length: %d\r\n", d.start, len(d.body)) }

// request returns the request with more lines in its head, up to size bytes of head.
func (d door) request(line func(n int) string, size int) string {
	return fill(d.head(), line, size) + d.body
}

// fill returns a head that begins with start, goes on with the lines and has at most size
// bytes with the blank line at its end.
func fill(start string, line func(n int) string, size int) string {
	var text strings.Builder
	text.WriteString(start)
	for n := 0; ; n++ {
		next := line(n)
		if text.Len()+len(next)+len("\r\n") > size {
			break
		}
		text.WriteString(next)
	}
	return text.String() + "\r\n"
}

// token returns the n-th of the shortest names of header fields.
func token(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := ""
	for n++; n > 0; n = (n - 1) / len(letters) {
		name += string(letters[(n-1)%len(letters)])
	}
	return name
}

// line returns a function that returns the same line for each number.
func line(text string) func(int) string { return func(int) string { return text } }

// shortLine returns the shortest possible line with a name that no other number has.
func shortLine(n int) string { return token(n) + ":\r\n" }

// inFlight returns the flow of a request with the lines in its head.
func inFlight(line func(int) string, size int) func(door) flow {
	return func(d door) flow { return flow{first: d.request(line, size)} }
}

// headWithoutEnd returns a flow of short lines up to size bytes, and then further lines.
func headWithoutEnd(size int, next string, pause time.Duration) func(door) flow {
	return func(d door) flow {
		return flow{first: strings.TrimSuffix(fill(d.head(), shortLine, size), "\r\n"), next: next, pause: pause}
	}
}

// longBody returns the flow of a body of the maximum length whose last bytes trickle; missing
// is how many of its bytes aren't sent at once.
func longBody(missing func(d door) int) func(door) flow {
	return func(d door) flow {
		return flow{
			first: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", d.start, d.maxBody, strings.Repeat("x", d.maxBody-missing(d))),
			next:  "x", pause: time.Second,
		}
	}
}

// awaitedBody returns the flow of a request with the lines in its head, whose body trickles.
func awaitedBody(line func(int) string, size int) func(door) flow {
	return func(d door) flow {
		return flow{first: fill(d.start+"Content-Length: 1000\r\n", line, size), next: "x", pause: time.Second}
	}
}

// chunk returns a chunk of a chunked body.
func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

// chunkedBody returns the flow of a chunked body without end.
func chunkedBody(size int, pause time.Duration) func(door) flow {
	return func(d door) flow {
		return flow{first: d.start + "Transfer-Encoding: chunked\r\n\r\n", next: chunk(size), pause: pause}
	}
}

// crowdCase is a crowd and the limit on descriptors under which it arrives.
type crowdCase struct {
	name  string
	size  int
	files int // limit on the descriptors of the process; 0 for that of the smallest machine
	flow  func(d door) flow
}

// headCases are crowds with heads of legal size.
var headCases = []crowdCase{
	{"short_lines", 1200, 0, inFlight(shortLine, maxHeaderBytes)},
	{"one_name_repeated", 1200, 0, inFlight(line("a:\n"), maxHeaderBytes)},
	{"lines_without_colon", 1200, 0, inFlight(line("a\r\n"), maxHeaderBytes)},
	{"continuation_lines", 1200, 0, inFlight(func(n int) string { return []string{"a:\r\n", " b\r\n"}[n%2] }, maxHeaderBytes)},
	{"control_bytes", 1200, 0, inFlight(func(n int) string { return token(n) + ":\x01\r\n" }, maxHeaderBytes)},
	{"long_names", 1200, 0, inFlight(func(n int) string { return token(n) + strings.Repeat("a", 8000) + ":\r\n" }, maxHeaderBytes)},
	{"awaited_body", 1200, 0, awaitedBody(shortLine, maxHeaderBytes)},
	{"pipelined_requests", 200, 0, func(d door) flow { return flow{first: strings.Repeat(d.head()+"\r\n"+d.body, 1000)} }},
}

// endlessHeadCases are crowds with heads that are over the limit or don't end.
var endlessHeadCases = []crowdCase{
	{"head_of_60_kilobytes", 400, 0, inFlight(shortLine, 60<<10)},
	{"head_of_a_megabyte", 100, 0, inFlight(shortLine, 1<<20)},
	{"stalled_head", 1200, 0, headWithoutEnd(maxHeaderBytes, "b:\r\n", time.Second)},
	{"endless_head", 100, 0, headWithoutEnd(maxHeaderBytes, strings.Repeat("b:\r\n", 1024), 0)},
	{"endless_line", 100, 0, func(d door) flow { return flow{first: d.start + "a: ", next: strings.Repeat("x", 4096)} }},
	{"endless_empty_lines", 100, 0, func(door) flow { return flow{next: strings.Repeat("\r\n", 2048)} }},
	{"trickling_empty_lines", 1200, 0, func(door) flow { return flow{first: "\r\n", next: "\r\n", pause: time.Second} }},
	{"empty_lines_after_request", 100, 0, func(d door) flow { return flow{first: d.head() + "\r\n" + d.body, next: strings.Repeat("\r\n", 2048)} }},
}

// bodyCases are crowds with bodies that don't end.
var bodyCases = []crowdCase{
	{"body_trickles_from_its_start", 40, 0, longBody(func(d door) int { return d.maxBody })},
	{"body_trickles_at_its_end", 300, 0, longBody(func(door) int { return 100 })},
	{"chunks_trickle", 300, 0, chunkedBody(1, time.Second)},
	{"endless_chunks", 40, 0, chunkedBody(32<<10, 0)},
}

// idleCases are crowds with more connections than the process may have descriptors.
var idleCases = []crowdCase{
	{"silent_connections", 1500, 1024, func(door) flow { return flow{} }},
	{"idle_after_request", 1500, 1024, func(door) flow { return flow{first: "GET /unknown HTTP/1.1\r\nHost: crowd.example\r\n\r\n"} }},
	{"stalled_request_line", 1500, 1024, func(door) flow { return flow{first: "GET /"} }},
}

// probeCases are crowds at probe and metrics addresses.
var probeCases = []crowdCase{
	{"awaited_body", 1200, 0, awaitedBody(shortLine, maxHeaderBytes)},
	{"stalled_head", 1200, 0, headWithoutEnd(maxHeaderBytes, "b:\r\n", time.Second)},
	{"endless_head", 100, 0, headWithoutEnd(maxHeaderBytes, strings.Repeat("b:\r\n", 1024), 0)},
	{"head_of_a_megabyte", 100, 0, inFlight(shortLine, 1<<20)},
	{"endless_empty_lines", 100, 0, func(door) flow { return flow{next: strings.Repeat("\r\n", 2048)} }},
	{"endless_chunks", 40, 0, chunkedBody(32<<10, 0)},
	{"silent_connections", 1300, 1200, func(door) flow { return flow{} }},
	{"idle_after_request", 1300, 1200, func(door) flow { return flow{first: "GET /unknown HTTP/1.1\r\nHost: crowd.example\r\n\r\n"} }},
}
