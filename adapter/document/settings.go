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

// Defaults of settings.
const (
	DefaultLinger       = 2 * time.Second  // DefaultLinger is how long a stopping process waits before it drains.
	DefaultDrainTimeout = 60 * time.Second // DefaultDrainTimeout bounds the wait for requests in flight at shutdown.
	DefaultMaxBodyBytes = 1 << 20          // DefaultMaxBodyBytes bounds the body of a request, in bytes.
	DefaultStallTimeout = 30 * time.Second // DefaultStallTimeout bounds the time to receive a request's body, and how long a caller may read nothing of its answer.

	DefaultBlockTimeout = 5 * time.Second // DefaultBlockTimeout is how long a slow reader may block the answer of a resumable run before the run is paused.
)

// EntrySettings are the settings of an entry instance.
type EntrySettings struct {
	Name     string `json:"name"`
	Domain   string `json:"domain"`   // failure domain of the instance
	Listen   string `json:"listen"`   // IP and port for callers
	Admin    string `json:"admin"`    // IP and port for operators and the load balancer
	Platform string `json:"platform"` // URL of the platform's service

	// Peers are the URLs of the admin addresses of other entry instances. They
	// provide configurations while the platform is down or stale.
	Peers []string `json:"peers,omitempty"`

	MaxBodyBytes   int64    `json:"body,omitempty"`
	MaxInFlight    int      `json:"inflight,omitempty"`
	MaxCalls       int      `json:"calls,omitempty"`    // bound on the concurrent calls to one agent
	AgentTimeout   Duration `json:"silence,omitempty"`  // an agent that sends nothing for this long counts as lost
	TicketLifetime Duration `json:"life,omitempty"`     // time for which a new ticket is valid
	MaxTargetWait  Duration `json:"patience,omitempty"` // bound on how long a request waits for a target that can take it
	Linger         Duration `json:"linger,omitempty"`   // how long the instance still admits requests after the signal to stop
	DrainTimeout   Duration `json:"drain,omitempty"`    // bound on the wait for requests in flight at shutdown
	StallTimeout   Duration `json:"stall,omitempty"`    // bound on receiving a request's body, and on how long a caller may read nothing of its answer

	Memory         int64 `json:"memory,omitempty"`      // bound on the heads and bodies of requests in memory, in bytes
	MaxConnections int   `json:"connections,omitempty"` // bound on the connections of callers
}

// AgentSettings are the settings of a target's agent.
type AgentSettings struct {
	Name     string `json:"name"`               // the target's name in the configuration
	Listen   string `json:"listen"`             // IP and port for entry instances
	Admin    string `json:"admin"`              // IP and port for operators
	Platform string `json:"platform,omitempty"` // URL of the platform's service; optional if there are peers

	// Peers are the URLs of the admin addresses of entry instances, which also
	// provide configurations.
	Peers []string `json:"peers,omitempty"`

	Target         string   `json:"target"`            // URL of the model engine or plain service
	MaxAnswerBytes int64    `json:"answer,omitempty"`  // bound on one kept answer
	MaxHeldBytes   int64    `json:"held,omitempty"`    // bound on all kept answers plus a buffer of target.WindowBytes for each reader, in bytes
	BlockTimeout   Duration `json:"release,omitempty"` // how long a slow reader may block the answer of a resumable run before the run is paused
	Linger         Duration `json:"linger,omitempty"`  // how long a leaving agent waits before it drains, so that its report of leaving reaches the entry instances
	DrainTimeout   Duration `json:"drain,omitempty"`   // bound on the wait for requests in flight at shutdown
}

// IP returns the IP that the instance listens on, or nil if it listens on all addresses.
func (s EntrySettings) IP() net.IP { return ipOf(s.Listen) }

// ipOf returns the IP of an address, or nil if it is unspecified or invalid.
func ipOf(address string) net.IP {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Addr().IsUnspecified() {
		return nil
	}
	return parsed.Addr().AsSlice()
}

// Sources returns the URLs from which configurations are read: the platform and
// the peers.
func (s EntrySettings) Sources() []string {
	return append([]string{s.Platform}, s.Peers...)
}

// Sources returns the URLs from which configurations are read: the platform, if
// one is set, and the peers.
func (s AgentSettings) Sources() []string {
	if s.Platform == "" {
		return s.Peers
	}
	return append([]string{s.Platform}, s.Peers...)
}

// ParseEntrySettings parses an entry instance's settings. An error is of type
// Faults.
func ParseEntrySettings(text []byte) (EntrySettings, error) {
	s := EntrySettings{
		MaxBodyBytes: DefaultMaxBodyBytes, MaxInFlight: entry.DefaultInFlight, MaxCalls: 128, AgentTimeout: Duration(entry.DefaultReportTimeout), TicketLifetime: Duration(ticket.Lifetime), MaxTargetWait: Duration(time.Second),
		Linger: Duration(DefaultLinger), DrainTimeout: Duration(DefaultDrainTimeout), StallTimeout: Duration(DefaultStallTimeout),
		Memory: DefaultMemory, MaxConnections: DefaultConnections,
	}
	if faults := decode(text, &s); len(faults) > 0 {
		return s, faults
	}
	k := &checker{}
	k.required("name", s.Name)
	k.required("domain", s.Domain)
	k.address("listen", s.Listen)
	k.address("admin", s.Admin)
	k.url("platform", s.Platform)
	k.urls("peers", s.Peers)
	k.inRange("body", s.MaxBodyBytes, 1, 3<<20)
	k.inRange("inflight", int64(s.MaxInFlight), 1, 1_000_000)
	k.inRange("memory", s.Memory, minMemory, maxMemory)
	k.inRange("connections", int64(s.MaxConnections), minConnections, maxConnections)
	k.inRange("calls", int64(s.MaxCalls), 1, 10_000)
	k.duration("silence", s.AgentTimeout, 100*time.Millisecond, time.Minute)
	k.duration("patience", s.MaxTargetWait, 0, time.Minute)
	k.duration("life", s.TicketLifetime, 100*time.Millisecond, ticket.Lifetime)
	k.duration("linger", s.Linger, 0, time.Minute)
	k.duration("drain", s.DrainTimeout, 0, time.Hour)
	k.duration("stall", s.StallTimeout, 100*time.Millisecond, time.Hour)
	if s.Listen == s.Admin && s.Listen != "" {
		k.addFault("admin", "the address is the same as listen", "give it a different port")
	}
	return s, k.result(text, &s)
}

// ParseAgentSettings parses an agent's settings. An error is of type Faults.
func ParseAgentSettings(text []byte) (AgentSettings, error) {
	s := AgentSettings{MaxAnswerBytes: 1 << 20, MaxHeldBytes: 32 << 20, BlockTimeout: Duration(DefaultBlockTimeout), Linger: Duration(DefaultLinger), DrainTimeout: Duration(DefaultDrainTimeout)}
	if faults := decode(text, &s); len(faults) > 0 {
		return s, faults
	}
	k := &checker{}
	k.required("name", s.Name)
	k.address("listen", s.Listen)
	k.address("admin", s.Admin)
	if s.Platform != "" || len(s.Peers) == 0 {
		k.url("platform", s.Platform)
	}
	k.urls("peers", s.Peers)
	k.url("target", s.Target)
	k.inRange("answer", s.MaxAnswerBytes, 1, 64<<20)
	k.inRange("held", s.MaxHeldBytes, s.MaxAnswerBytes, 1<<30)
	k.duration("release", s.BlockTimeout, 10*time.Millisecond, time.Hour)
	k.duration("linger", s.Linger, 0, time.Minute)
	k.duration("drain", s.DrainTimeout, 0, time.Hour)
	if s.Listen == s.Admin && s.Listen != "" {
		k.addFault("admin", "the address is the same as listen", "give it a different port")
	}
	return s, k.result(text, &s)
}

// Load reads the file at path and parses it with one of the Parse functions.
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

// checker collects the faults of settings.
type checker struct {
	faults   []fleet.Fault
	replaced []fleet.Fault // bounds that others are used for
}

func (k *checker) addFault(path, problem, remedy string) {
	k.faults = append(k.faults, fleet.Fault{Path: path, Problem: problem, Remedy: remedy})
}

func (k *checker) required(path, value string) {
	if value == "" {
		k.addFault(path, "the member is missing or empty", "give it a value")
	}
}

func (k *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		k.addFault(path, fmt.Sprintf("%q is not an IP and a port", value), "write it as 10.0.0.1:7400 or [::1]:7400")
	}
}

func (k *checker) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		k.addFault(path, fmt.Sprintf("%q is not a URL", value), "write it as http://10.0.0.1:7400")
	}
}

func (k *checker) urls(path string, values []string) {
	seen := map[string]bool{}
	for i, value := range values {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		k.url(elementPath, value)
		if seen[value] {
			k.addFault(elementPath, fmt.Sprintf("%q is repeated", value), "keep one of them")
		}
		seen[value] = true
	}
}

func (k *checker) inRange(path string, value, least, most int64) {
	if value < least || value > most {
		k.addFault(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("give a number from %d to %d", least, most))
	}
}

func (k *checker) duration(path string, value Duration, least, most time.Duration) {
	if d := time.Duration(value); d < least || d > most {
		k.addFault(path, fmt.Sprintf("%s is out of range", d), fmt.Sprintf("give a time from %s to %s", least, most))
	}
}

// result returns nil or the faults with their lines in text, from which settings
// was decoded.
func (k *checker) result(text []byte, settings any) error {
	if len(k.faults) == 0 {
		return nil
	}
	return withLines(k.faults, linesByPath(text, settings))
}
