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
	MaxDeadline   = time.Hour
	MaxWarm       = time.Hour
	MaxLimit      = 100_000
	MaxLoad       = 256 // characters of a load's name
	MaxGroupRanks = 4096
	MaxExperts    = 4096
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Fault is one thing wrong with a configuration, where it stands, and what to
// do about it.
type Fault struct {
	Path    string // Path names the place, such as targets[m1].address.
	Problem string
	Remedy  string
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Path, f.Problem, f.Remedy)
}

// Check returns every fault of the configuration, in a stable order. A
// configuration is accepted only if it has none.
func (c Configuration) Check() []Fault {
	k := &checker{configuration: c}
	k.domains()
	k.services()
	k.accounts()
	k.targets()
	k.groups()
	return k.faults
}

type checker struct {
	configuration Configuration
	faults        []Fault
}

func (k *checker) add(path, problem, remedy string) {
	k.faults = append(k.faults, Fault{Path: path, Problem: problem, Remedy: remedy})
}

func (k *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		k.add(path+".name", fmt.Sprintf("name %q is not valid", name), "use 1 to 63 lower-case letters, digits and hyphens")
	}
}

func (k *checker) between(path string, value, least, most int) {
	if value < least || value > most {
		k.add(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("give a number from %d to %d", least, most))
	}
}

func (k *checker) domains() {
	for _, d := range k.configuration.Domains() {
		k.name(pathOf("domains", d.Name), d.Name)
	}
}

func (k *checker) services() {
	for _, s := range k.configuration.Services() {
		path := pathOf("services", s.Name)
		k.name(path, s.Name)
		if s.Kind != Model && s.Kind != Plain {
			k.add(path+".kind", fmt.Sprintf("kind %q does not exist", s.Kind), `use "model" or "plain"`)
		}
		if s.Deadline <= 0 || s.Deadline > MaxDeadline {
			k.add(path+".deadline", fmt.Sprintf("deadline %s is out of range", s.Deadline), "give a time above 0s and up to 1h")
		}
		for _, call := range s.IdempotentCalls() {
			if !namePattern.MatchString(call) {
				k.add(path+".idempotent", fmt.Sprintf("call %q is not a valid name", call), "use 1 to 63 lower-case letters, digits and hyphens")
			}
		}
	}
}

func (k *checker) accounts() {
	owners := map[string]string{}
	for _, a := range k.configuration.Accounts() {
		path := pathOf("accounts", a.Name)
		k.name(path, a.Name)
		if !digestPattern.MatchString(a.Digest) {
			k.add(path+".digest", "the key's digest is not a SHA-256 in lower-case hex", "print it with: tray digest KEY")
		}
		if other, found := owners[a.Digest]; found {
			k.add(path+".digest", fmt.Sprintf("account %q has the same key", other), "give each account a key of its own")
		}
		owners[a.Digest] = a.Name
		if a.Rate <= 0 || a.Rate > MaxLimit {
			k.add(path+".rate", fmt.Sprintf("rate %g is out of range", a.Rate), "give a number of requests a second above 0")
		}
		k.between(path+".burst", a.Burst, 1, MaxLimit)
		k.between(path+".concurrent", a.MaxConcurrent, 1, MaxLimit)
	}
}

func (k *checker) targets() {
	owners := map[string]string{}
	for _, t := range k.configuration.Targets() {
		path := pathOf("targets", t.Name)
		k.name(path, t.Name)
		if _, found := k.configuration.Service(t.Service); !found {
			k.add(path+".service", fmt.Sprintf("service %q does not exist", t.Service), "declare it under services or name another")
		}
		if _, found := k.configuration.Domain(t.Domain); !found {
			k.add(path+".domain", fmt.Sprintf("failure domain %q does not exist", t.Domain), "declare it under domains or name another")
		}
		if !validAddress(t.Address) {
			k.add(path+".address", fmt.Sprintf("address %q is not an IP and a port", t.Address), "write it as 10.0.0.1:7400 or [::1]:7400")
		}
		if other, found := owners[t.Address]; found {
			k.add(path+".address", fmt.Sprintf("target %q has the same address", other), "give each target's agent an address of its own")
		}
		owners[t.Address] = t.Name
		k.between(path+".limit", t.Limit, 1, MaxLimit)
		k.between(path+".cold", t.ColdLimit, 1, max(1, t.Limit))
		if len(t.RequiredLoad) > MaxLoad {
			k.add(path+".load", fmt.Sprintf("%d characters are too many", len(t.RequiredLoad)), fmt.Sprintf("use at most %d", MaxLoad))
		}
		if t.RampUp < 0 || t.RampUp > MaxWarm {
			k.add(path+".warm", fmt.Sprintf("warm time %s is out of range", t.RampUp), "give a time from 0s to 1h")
		}
	}
}

func (k *checker) groups() {
	owners := map[string]string{}
	for _, g := range k.configuration.Groups() {
		path := pathOf("groups", g.Name)
		k.name(path, g.Name)
		k.between(path+".experts", g.Experts, 1, MaxExperts)
		k.between(path+".targets", len(g.targets), 1, MaxGroupRanks)
		service := ""
		for _, name := range g.targets {
			t, found := k.configuration.Target(name)
			if !found {
				k.add(path+".targets", fmt.Sprintf("target %q does not exist", name), "declare it under targets or leave it out")
				continue
			}
			if service == "" {
				service = t.Service
			}
			if t.Service != service {
				k.add(path+".targets", fmt.Sprintf("target %q serves %q, others serve %q", name, t.Service, service), "keep a group within one service")
			}
			if other, taken := owners[name]; taken {
				k.add(path+".targets", fmt.Sprintf("target %q stands already in group %q", name, other), "let a target be in one group only")
			}
			owners[name] = g.Name
		}
	}
}

func pathOf(list, name string) string {
	return list + "[" + name + "]"
}

// validAddress reports whether address is host:port with a digit-only or
// bracketed host and a port from 1 to 65535. Names are refused: processes talk
// by IP numbers.
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
