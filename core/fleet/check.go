package fleet

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Bounds on what a configuration may declare.
const (
	MaxDeadline      = time.Hour
	MaxRampUp        = time.Hour
	MaxLimit         = 100_000 // for Target.Limit and each limit of an Account
	MaxLoadNameBytes = 256     // for Target.RequiredLoad
	MaxGroupRanks    = 4096
	MaxExperts       = 4096
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Fault describes one error in a configuration, its place and how to fix it.
type Fault struct {
	Path    string // Path is the place of the error, such as targets[m1].address.
	Problem string
	Remedy  string
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Path, f.Problem, f.Remedy)
}

// Check returns all faults of the configuration, in a stable order. A
// configuration with faults is not accepted.
func (c Configuration) Check() []Fault {
	k := &checker{configuration: c}
	k.checkDomains()
	k.checkServices()
	k.checkAccounts()
	k.checkTargets()
	k.checkGroups()
	return k.faults
}

type checker struct {
	configuration Configuration
	faults        []Fault
}

func (k *checker) addFault(path, problem, remedy string) {
	k.faults = append(k.faults, Fault{Path: path, Problem: problem, Remedy: remedy})
}

func (k *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		k.addFault(path+".name", fmt.Sprintf("name %q is not valid", name), "use 1 to 63 lower-case letters, digits and hyphens")
	}
}

func (k *checker) checkRange(path string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		k.addFault(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("give a number from %d to %d", minimum, maximum))
	}
}

func (k *checker) checkDomains() {
	for _, d := range k.configuration.Domains() {
		k.checkName(pathOf("domains", d.Name), d.Name)
	}
}

func (k *checker) checkServices() {
	for _, s := range k.configuration.Services() {
		path := pathOf("services", s.Name)
		k.checkName(path, s.Name)
		if s.Kind != Model && s.Kind != Plain {
			k.addFault(path+".kind", fmt.Sprintf("kind %q does not exist", s.Kind), `use "model" or "plain"`)
		}
		if s.Deadline <= 0 || s.Deadline > MaxDeadline {
			k.addFault(path+".deadline", fmt.Sprintf("deadline %s is out of range", s.Deadline), "give a time above 0s and up to 1h")
		}
		for _, call := range s.IdempotentCalls() {
			if !namePattern.MatchString(call) {
				k.addFault(path+".idempotent", fmt.Sprintf("call %q is not a valid name", call), "use 1 to 63 lower-case letters, digits and hyphens")
			}
		}
	}
}

func (k *checker) checkAccounts() {
	owners := map[string]string{}
	for _, a := range k.configuration.Accounts() {
		path := pathOf("accounts", a.Name)
		k.checkName(path, a.Name)
		if !digestPattern.MatchString(a.Digest) {
			k.addFault(path+".digest", "the key's digest is not a SHA-256 in lower-case hex", "print it with: tray digest KEY")
		}
		if other, found := owners[a.Digest]; found {
			k.addFault(path+".digest", fmt.Sprintf("account %q has the same key", other), "give each account a key of its own")
		}
		owners[a.Digest] = a.Name
		if a.Rate <= 0 || a.Rate > MaxLimit {
			k.addFault(path+".rate", fmt.Sprintf("rate %g is out of range", a.Rate), "give a number of requests a second above 0")
		}
		k.checkRange(path+".burst", a.Burst, 1, MaxLimit)
		k.checkRange(path+".concurrent", a.MaxConcurrent, 1, MaxLimit)
	}
}

func (k *checker) checkTargets() {
	owners := map[string]string{}
	for _, t := range k.configuration.Targets() {
		path := pathOf("targets", t.Name)
		k.checkName(path, t.Name)
		if _, found := k.configuration.Service(t.Service); !found {
			k.addFault(path+".service", fmt.Sprintf("service %q does not exist", t.Service), "declare it under services or name another")
		}
		if _, found := k.configuration.Domain(t.Domain); !found {
			k.addFault(path+".domain", fmt.Sprintf("failure domain %q does not exist", t.Domain), "declare it under domains or name another")
		}
		if !validAddress(t.Address) {
			k.addFault(path+".address", fmt.Sprintf("address %q is not an IP and a port", t.Address), "write it as 10.0.0.1:7400 or [::1]:7400")
		}
		if other, found := owners[t.Address]; found {
			k.addFault(path+".address", fmt.Sprintf("target %q has the same address", other), "give each target's agent an address of its own")
		}
		owners[t.Address] = t.Name
		k.checkRange(path+".limit", t.Limit, 1, MaxLimit)
		k.checkRange(path+".cold", t.ColdLimit, 1, max(1, t.Limit))
		if len(t.RequiredLoad) > MaxLoadNameBytes {
			k.addFault(path+".load", fmt.Sprintf("the name has %d bytes", len(t.RequiredLoad)), fmt.Sprintf("use at most %d bytes", MaxLoadNameBytes))
		}
		if t.RampUp < 0 || t.RampUp > MaxRampUp {
			k.addFault(path+".warm", fmt.Sprintf("ramp-up time %s is out of range", t.RampUp), "give a time from 0s to 1h")
		}
	}
}

func (k *checker) checkGroups() {
	owners := map[string]string{}
	for _, g := range k.configuration.Groups() {
		path := pathOf("groups", g.Name)
		k.checkName(path, g.Name)
		k.checkRange(path+".experts", g.Experts, 1, MaxExperts)
		k.checkRange(path+".targets", len(g.targets), 1, MaxGroupRanks)
		service := ""
		for _, name := range g.targets {
			t, found := k.configuration.Target(name)
			if !found {
				k.addFault(path+".targets", fmt.Sprintf("target %q does not exist", name), "declare it under targets or leave it out")
				continue
			}
			if service == "" {
				service = t.Service
			}
			if t.Service != service {
				k.addFault(path+".targets", fmt.Sprintf("target %q belongs to service %q, other targets to %q", name, t.Service, service), "list only targets of one service")
			}
			if other, taken := owners[name]; taken {
				k.addFault(path+".targets", fmt.Sprintf("target %q is already in group %q", name, other), "list each target in one group only")
			}
			owners[name] = g.Name
		}
	}
}

func pathOf(list, name string) string {
	return list + "[" + name + "]"
}

// validAddress reports whether address is host:port with an IPv4 or a bracketed
// IPv6 host and a port from 1 to 65535. Host names are invalid because processes
// connect by IP address only. An IPv6 host is checked only for its characters.
func validAddress(address string) bool {
	colon := strings.LastIndexByte(address, ':')
	if colon < 1 {
		return false
	}
	port, err := strconv.Atoi(address[colon+1:])
	if err != nil || port < 1 || port > 65535 {
		return false
	}
	host := address[:colon]
	if strings.HasPrefix(host, "[") && strings.HasSuffix(host, "]") {
		return strings.Trim(host[1:len(host)-1], "0123456789abcdefABCDEF:.") == "" && strings.Contains(host, ":")
	}
	parts := strings.Split(host, ".")
	if len(parts) != 4 {
		return false
	}
	for _, part := range parts {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 || n > 255 {
			return false
		}
	}
	return true
}
