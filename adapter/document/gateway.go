package document

import (
	"math"
	"net"
	"time"
)

// GatewaySettings are the settings of a gateway, an entry instance that sends
// requests to targets itself.
type GatewaySettings struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`  // failure domain of the instance
	Listen  string `json:"listen"`  // IP and port for callers
	Admin   string `json:"admin"`   // IP and port for the load balancer and operators
	Metrics string `json:"metrics"` // IP and port for counters and histograms
	Control string `json:"control"` // IP and port for other gateways
	Store   string `json:"store"`   // IP and port of the platform's store

	// Peers are the control addresses of the gateways that this one contacts first.
	Peers []string `json:"peers,omitempty"`

	// StewardPort is the port on which the steward beside each target listens, on the
	// target's IP; 0 if there are no stewards.
	StewardPort Bound `json:"stewards,omitempty"`

	MaxRevocationDelay TimeBound `json:"revoke"`            // bound on the time from a key's removal until the gateway refuses it
	ColdOvershoot      Bound     `json:"overshoot"`         // factor on a service's cold rate; see dispatch.Bounds.ColdOvershoot
	ColdSlack          Bound     `json:"slack"`             // requests beyond the cold rate times ColdOvershoot; see dispatch.Bounds.ColdSlack
	MaxExtraRetries    Bound     `json:"retries,omitempty"` // see dispatch.Bounds.MaxExtraRetries; infinite for no bound
	Linger             TimeBound `json:"linger,omitempty"`  // how long the gateway still serves new requests after the signal to stop
	GracePeriod        TimeBound `json:"grace"`             // bound on the time from the signal to stop until the process exits

	Memory         Bound `json:"memory,omitempty"`      // bound on the heads and bodies of requests in memory, in bytes
	MaxConnections Bound `json:"connections,omitempty"` // bound on the connections of callers

	replaced Faults
}

// Replaced returns the faults of bounds that can't be used as they are. The settings hold
// bounds that are at least as strict in their place, or the nearest usable ones.
func (s GatewaySettings) Replaced() Faults { return s.replaced }

// DefaultGatewayLinger is how long a gateway that was asked to stop still serves new
// requests. The load balancer probes once a second and stops sending connections
// after two failed probes.
const DefaultGatewayLinger = 2500 * time.Millisecond

// Defaults of the bounds on what callers take. A gateway and an entry instance have them in
// common.
const (
	DefaultMemory      = 32 << 20 // DefaultMemory is for heads and bodies of requests, in bytes; the smallest machines have 184 MB.
	DefaultConnections = 2000     // DefaultConnections is for callers; the smallest machines have 4,100 descriptors.
)

// HasRetryBound reports whether MaxExtraRetries applies.
func (s GatewaySettings) HasRetryBound() bool { return !math.IsInf(float64(s.MaxExtraRetries), 1) }

// Bounds of a gateway whose settings have no usable ones.
const (
	fallbackRevocationDelay = 2 * time.Second // the shortest that a gateway meets between two reads of the store
	fallbackGracePeriod     = 4 * time.Second // enough for DefaultGatewayLinger and most answers
	fallbackOvershoot       = 1               // no more than the cold rate
)

// Ranges of bounds.
const (
	minRevocationDelay = time.Second // below it, a gateway would refuse keys between two reads of the store
	maxBound           = 1e6

	minMemory      = 16 << 20 // one caller gets half of it, which holds a head and a body of the published sizes
	maxMemory      = 1 << 40
	minConnections = 16 // enough for the load balancer and a few callers
	maxConnections = 1_000_000
)

// IP returns the IP that the gateway listens on, or nil if it listens on all addresses.
func (s GatewaySettings) IP() net.IP { return ipOf(s.Listen) }

// ParseGatewaySettings parses a gateway's settings. An error is of type Faults.
func ParseGatewaySettings(text []byte) (GatewaySettings, error) {
	s := GatewaySettings{
		Linger: TimeBound(DefaultGatewayLinger), MaxExtraRetries: Bound(math.Inf(1)),
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
	k.address("metrics", s.Metrics)
	k.address("control", s.Control)
	k.address("store", s.Store)
	for _, peer := range s.Peers {
		k.address("peers", peer)
	}
	s.StewardPort = k.bound("stewards", s.StewardPort, 0, math.MaxUint16, 0)
	s.ColdOvershoot = k.bound("overshoot", s.ColdOvershoot, 0, maxBound, fallbackOvershoot)
	s.ColdSlack = k.bound("slack", s.ColdSlack, 0, maxBound, 0)
	if s.HasRetryBound() {
		s.MaxExtraRetries = k.bound("retries", s.MaxExtraRetries, 0, maxBound, 0)
	}
	s.MaxRevocationDelay = k.timeBound("revoke", s.MaxRevocationDelay, minRevocationDelay, time.Hour, fallbackRevocationDelay)
	s.Linger = k.timeBound("linger", s.Linger, 0, time.Minute, DefaultGatewayLinger)
	s.GracePeriod = k.timeBound("grace", s.GracePeriod, time.Second, time.Hour, fallbackGracePeriod)
	s.Memory = k.bound("memory", s.Memory, minMemory, maxMemory, DefaultMemory)
	s.MaxConnections = k.bound("connections", s.MaxConnections, minConnections, maxConnections, DefaultConnections)
	if s.Listen == s.Admin && s.Listen != "" {
		k.addFault("admin", "the address is the same as listen", "give it a different port")
	}
	if len(k.replaced) > 0 {
		s.replaced = withLines(k.replaced, linesByPath(text, &s))
	}
	return s, k.result(text, &s)
}

// StewardSettings are the settings of a steward, which runs beside one rank (one
// target) of a fleet.Group.
type StewardSettings struct {
	Name    string `json:"name"`
	IP      string `json:"ip"`
	Port    Bound  `json:"port"`    // port on which every steward listens for the other stewards
	Metrics string `json:"metrics"` // IP and port for counters and histograms
	Store   string `json:"store"`   // IP and port of the platform's store
	Target  string `json:"target"`  // IP and port of the rank
	Service string `json:"service"` // service that the rank belongs to
}

// ParseStewardSettings parses a steward's settings. An error is of type Faults.
func ParseStewardSettings(text []byte) (StewardSettings, error) {
	var s StewardSettings
	if faults := decode(text, &s); len(faults) > 0 {
		return s, faults
	}
	k := &checker{}
	k.required("name", s.Name)
	k.required("service", s.Service)
	k.port("port", s.Port, 1)
	k.address("ip", s.IP+":1")
	k.address("metrics", s.Metrics)
	k.address("store", s.Store)
	k.address("target", s.Target)
	return s, k.result(text, &s)
}
