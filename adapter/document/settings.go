package document

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/gravitational/trace"

	"hornbeamtray/core/entry"
	"hornbeamtray/core/fleet"
	"hornbeamtray/core/ticket"
)

// Default settings.
const (
	DefaultLinger = 2 * time.Second  // DefaultLinger is how long a closing process still admits requests.
	DefaultDrain  = 60 * time.Second // DefaultDrain bounds the wait for requests in flight at shutdown.
	DefaultBody   = 1 << 20          // DefaultBody bounds a request's body, in bytes.
	DefaultStall  = 30 * time.Second // DefaultStall bounds how long a caller may read nothing.

	DefaultRelease = 5 * time.Second // DefaultRelease is when a blocked answer's run is let go.
)

// EntrySettings are the settings of an entry instance.
type EntrySettings struct {
	Name     string `json:"name"`
	Domain   string `json:"domain"`   // failure domain of the instance
	Listen   string `json:"listen"`   // IP and port for callers
	Admin    string `json:"admin"`    // IP and port for operators and the balancer
	Platform string `json:"platform"` // URL of the platform's service

	// Peers are URLs of the admin addresses of other entry instances, which
	// know configurations while the platform is down or stale.
	Peers []string `json:"peers,omitempty"`

	Body     int64 `json:"body,omitempty"`
	InFlight int   `json:"inflight,omitempty"`
	Calls    int   `json:"calls,omitempty"`    // concurrent calls to one agent
	Silence  Span  `json:"silence,omitempty"`  // an agent that sends nothing for so long counts as lost
	Life     Span  `json:"life,omitempty"`     // of a ticket
	Patience Span  `json:"patience,omitempty"` // a request waits so long for a target that can take it
	Linger   Span  `json:"linger,omitempty"`
	Drain    Span  `json:"drain,omitempty"`
	Stall    Span  `json:"stall,omitempty"`
}

// AgentSettings are the settings of a target's agent.
type AgentSettings struct {
	Name     string `json:"name"`               // the target's name in the configuration
	Listen   string `json:"listen"`             // IP and port for entry instances
	Admin    string `json:"admin"`              // IP and port for operators
	Platform string `json:"platform,omitempty"` // URL of the platform's service; none where there are peers

	// Peers are URLs of the admin addresses of entry instances, which pass
	// configurations on.
	Peers []string `json:"peers,omitempty"`

	Target  string `json:"target"` // URL of the model engine or plain service
	Answer  int64  `json:"answer,omitempty"`
	Held    int64  `json:"held,omitempty"`
	Release Span   `json:"release,omitempty"` // a reader that blocks an answer for so long loses its run for a while
	Linger  Span   `json:"linger,omitempty"`
	Drain   Span   `json:"drain,omitempty"`
}

// IP returns the instance's own address, nil where it listens on all.
func (s EntrySettings) IP() net.IP { return ipOf(s.Listen) }

// ipOf returns the IP of an address, nil where it stands for all.
func ipOf(address string) net.IP {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Addr().IsUnspecified() {
		return nil
	}
	return parsed.Addr().AsSlice()
}

// Sources returns the URLs that configurations are read from.
func (s EntrySettings) Sources() []string {
	return append([]string{s.Platform}, s.Peers...)
}

// Sources returns the URLs that configurations are read from.
func (s AgentSettings) Sources() []string {
	if s.Platform == "" {
		return s.Peers
	}
	return append([]string{s.Platform}, s.Peers...)
}

// ParseEntrySettings reads an entry instance's settings. The error, if any, is
// Faults and holds every fault with its line.
func ParseEntrySettings(text []byte) (EntrySettings, error) {
	s := EntrySettings{
		Body: DefaultBody, InFlight: entry.DefaultInFlight, Calls: 128, Silence: Span(entry.DefaultReportTimeout), Life: Span(ticket.Lifetime), Patience: Span(time.Second),
		Linger: Span(DefaultLinger), Drain: Span(DefaultDrain), Stall: Span(DefaultStall),
	}
	if faults := read(text, &s); len(faults) > 0 {
		return s, faults
	}
	k := &check{}
	k.text("name", s.Name)
	k.text("domain", s.Domain)
	k.address("listen", s.Listen)
	k.address("admin", s.Admin)
	k.url("platform", s.Platform)
	k.urls("peers", s.Peers)
	k.between("body", s.Body, 1, 3<<20)
	k.between("inflight", int64(s.InFlight), 1, 1_000_000)
	k.between("calls", int64(s.Calls), 1, 10_000)
	k.span("silence", s.Silence, 100*time.Millisecond, time.Minute)
	k.span("patience", s.Patience, 0, time.Minute)
	k.span("life", s.Life, 100*time.Millisecond, ticket.Lifetime)
	k.span("linger", s.Linger, 0, time.Minute)
	k.span("drain", s.Drain, 0, time.Hour)
	k.span("stall", s.Stall, 100*time.Millisecond, time.Hour)
	if s.Listen == s.Admin && s.Listen != "" {
		k.add("admin", "the address is the same as listen", "give it a port of its own")
	}
	return s, k.result(text, &s)
}

// ParseAgentSettings reads an agent's settings. The error, if any, is Faults
// and holds every fault with its line.
func ParseAgentSettings(text []byte) (AgentSettings, error) {
	s := AgentSettings{Answer: 1 << 20, Held: 32 << 20, Release: Span(DefaultRelease), Linger: Span(DefaultLinger), Drain: Span(DefaultDrain)}
	if faults := read(text, &s); len(faults) > 0 {
		return s, faults
	}
	k := &check{}
	k.text("name", s.Name)
	k.address("listen", s.Listen)
	k.address("admin", s.Admin)
	if s.Platform != "" || len(s.Peers) == 0 {
		k.url("platform", s.Platform)
	}
	k.urls("peers", s.Peers)
	k.url("target", s.Target)
	k.between("answer", s.Answer, 1, 64<<20)
	k.between("held", s.Held, s.Answer, 1<<30)
	k.span("release", s.Release, 10*time.Millisecond, time.Hour)
	k.span("linger", s.Linger, 0, time.Minute)
	k.span("drain", s.Drain, 0, time.Hour)
	if s.Listen == s.Admin && s.Listen != "" {
		k.add("admin", "the address is the same as listen", "give it a port of its own")
	}
	return s, k.result(text, &s)
}

// Load reads a file with one of the Parse functions.
func Load[T any](path string, parse func([]byte) (T, error)) (T, error) {
	var none T
	text, err := os.ReadFile(path)
	if err != nil {
		return none, trace.NotFound("%s can't be read; check the path", path)
	}
	value, err := parse(text)
	if err != nil {
		return none, err
	}
	return value, nil
}

// check collects the faults of settings.
type check struct {
	faults []fleet.Fault
}

func (k *check) add(path, problem, remedy string) {
	k.faults = append(k.faults, fleet.Fault{Path: path, Problem: problem, Remedy: remedy})
}

func (k *check) text(path, value string) {
	if value == "" {
		k.add(path, "the member is missing or empty", "give it a value")
	}
}

func (k *check) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		k.add(path, fmt.Sprintf("%q is not an IP and a port", value), "write it as 10.0.0.1:7400 or [::1]:7400")
	}
}

func (k *check) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		k.add(path, fmt.Sprintf("%q is not a URL", value), "write it as http://10.0.0.1:7400")
	}
}

func (k *check) urls(path string, values []string) {
	seen := map[string]bool{}
	for i, value := range values {
		place := fmt.Sprintf("%s[%d]", path, i)
		k.url(place, value)
		if seen[value] {
			k.add(place, fmt.Sprintf("%q stands twice", value), "keep one of them")
		}
		seen[value] = true
	}
}

func (k *check) between(path string, value, least, most int64) {
	if value < least || value > most {
		k.add(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("give a number from %d to %d", least, most))
	}
}

func (k *check) span(path string, value Span, least, most time.Duration) {
	if d := time.Duration(value); d < least || d > most {
		k.add(path, fmt.Sprintf("%s is out of range", d), fmt.Sprintf("give a time from %s to %s", least, most))
	}
}

// result returns nil or the faults with their lines in the text that was read
// into settings.
func (k *check) result(text []byte, settings any) error {
	if len(k.faults) == 0 {
		return nil
	}
	return locate(k.faults, linesOf(text, settings))
}
