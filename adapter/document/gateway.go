package document

import (
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
	StewardPort int `json:"stewards,omitempty"`

	MaxRevocationDelay Duration `json:"revoke"`            // bound on the time from a key's removal until the gateway refuses it
	ColdOvershoot      float64  `json:"overshoot"`         // factor on a service's cold rate; see dispatch.Bounds.ColdOvershoot
	ColdSlack          float64  `json:"slack"`             // requests beyond the cold rate times ColdOvershoot; see dispatch.Bounds.ColdSlack
	MaxExtraRetries    int      `json:"retries,omitempty"` // see dispatch.Bounds.MaxExtraRetries; 0 for no bound
	Linger             Duration `json:"linger,omitempty"`  // how long the gateway still serves new requests after the signal to stop
	GracePeriod        Duration `json:"grace"`             // bound on the time from the signal to stop until the process exits
}

// DefaultGatewayLinger is how long a gateway that was asked to stop still serves new
// requests. The load balancer probes once a second and stops sending connections
// after two failed probes.
const DefaultGatewayLinger = 2500 * time.Millisecond

// IP returns the IP that the gateway listens on, or nil if it listens on all addresses.
func (s GatewaySettings) IP() net.IP { return ipOf(s.Listen) }

// ParseGatewaySettings parses a gateway's settings. An error is of type Faults.
func ParseGatewaySettings(text []byte) (GatewaySettings, error) {
	s := GatewaySettings{Linger: Duration(DefaultGatewayLinger)}
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
	k.inRange("stewards", int64(s.StewardPort), 0, 65535)
	k.inRange("retries", int64(s.MaxExtraRetries), 0, 1e6)
	k.duration("revoke", s.MaxRevocationDelay, time.Second, time.Hour)
	k.duration("linger", s.Linger, 0, time.Minute)
	k.duration("grace", s.GracePeriod, time.Second, time.Hour)
	if s.Listen == s.Admin && s.Listen != "" {
		k.addFault("admin", "the address is the same as listen", "give it a different port")
	}
	return s, k.result(text, &s)
}

// StewardSettings are the settings of a steward, which runs beside one rank (one
// target) of a fleet.Group.
type StewardSettings struct {
	Name    string `json:"name"`
	IP      string `json:"ip"`
	Port    int    `json:"port"`    // port on which every steward listens for the other stewards
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
	k.inRange("port", int64(s.Port), 1, 65535)
	k.address("ip", s.IP+":1")
	k.address("metrics", s.Metrics)
	k.address("store", s.Store)
	k.address("target", s.Target)
	return s, k.result(text, &s)
}
