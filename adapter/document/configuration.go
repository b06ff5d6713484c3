package document

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"hornbeamtray/core/fleet"
)

// configuration is the JSON form of a fleet.Configuration.
type configuration struct {
	Domains  []domain  `json:"domains"`
	Services []service `json:"services"`
	Accounts []account `json:"accounts"`
	Targets  []target  `json:"targets"`
	Groups   []group   `json:"groups,omitempty"`
}

type domain struct {
	Name string `json:"name"`
	Out  bool   `json:"out,omitempty"`
}

type service struct {
	Name       string    `json:"name"`
	Kind       string    `json:"kind"`
	Deadline   *Duration `json:"deadline,omitempty"`
	Idempotent []string  `json:"idempotent,omitempty"`
	Resumes    bool      `json:"resumes,omitempty"`
}

type account struct {
	Name       string   `json:"name"`
	Digest     string   `json:"digest"`
	Rate       *float64 `json:"rate,omitempty"`
	Burst      *int     `json:"burst,omitempty"`
	Concurrent *int     `json:"concurrent,omitempty"`
	Priority   int      `json:"priority,omitempty"`
}

type target struct {
	Name    string   `json:"name"`
	Service string   `json:"service"`
	Domain  string   `json:"domain"`
	Address string   `json:"address"`
	Limit   *int     `json:"limit,omitempty"`
	Cold    *int     `json:"cold,omitempty"` // defaults to limit
	Warm    Duration `json:"warm,omitempty"`
	Load    string   `json:"load,omitempty"`
	Leaving bool     `json:"leaving,omitempty"`
}

type group struct {
	Name    string   `json:"name"`
	Experts int      `json:"experts"`
	Targets []string `json:"targets"`
}

// ParseConfiguration parses and validates a configuration in JSON with comments.
// An error is of type Faults.
func ParseConfiguration(text []byte) (fleet.Configuration, error) {
	var written configuration
	if faults := decode(text, &written); len(faults) > 0 {
		return fleet.Configuration{}, faults
	}
	c := written.value()
	if faults := c.Check(); len(faults) > 0 {
		return fleet.Configuration{}, withLines(faults, linesByPath(text, &written))
	}
	return c, nil
}

// PrintConfiguration validates c and returns it as indented JSON, the form that the
// platform publishes. The faults that it reports have no lines.
func PrintConfiguration(c fleet.Configuration) ([]byte, error) {
	if faults := c.Check(); len(faults) > 0 {
		return nil, withLines(faults, map[string]int{})
	}
	text, err := json.MarshalIndent(jsonForm(c), "", "  ")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(text, '\n'), nil
}

func (w configuration) value() fleet.Configuration {
	c := fleet.NewConfiguration()
	for _, d := range w.Domains {
		c = c.WithDomain(fleet.NewDomain(d.Name).WithEvacuated(d.Out))
	}
	for _, s := range w.Services {
		c = c.WithService(s.value())
	}
	for _, a := range w.Accounts {
		c = c.WithAccount(a.value())
	}
	for _, t := range w.Targets {
		c = c.WithTarget(t.value())
	}
	for _, g := range w.Groups {
		c = c.WithGroup(fleet.NewGroup(g.Name, g.Experts, g.Targets...))
	}
	return c
}

func (w service) value() fleet.Service {
	s := fleet.NewService(w.Name, fleet.Kind(w.Kind)).WithIdempotent(w.Idempotent...).WithResumes(w.Resumes)
	if w.Deadline != nil {
		s = s.WithDeadline(time.Duration(*w.Deadline))
	}
	return s
}

func (w account) value() fleet.Account {
	a := fleet.NewAccount(w.Name, w.Digest).WithPriority(w.Priority)
	if w.Rate != nil {
		a = a.WithRate(*w.Rate, a.Burst)
	}
	if w.Burst != nil {
		a = a.WithRate(a.Rate, *w.Burst)
	}
	if w.Concurrent != nil {
		a = a.WithMaxConcurrent(*w.Concurrent)
	}
	return a
}

func (w target) value() fleet.Target {
	t := fleet.NewTarget(w.Name, w.Service, w.Domain, w.Address).WithLeaving(w.Leaving).WithRequiredLoad(w.Load)
	if w.Limit != nil {
		t = t.WithLimit(*w.Limit)
	}
	if w.Cold != nil {
		t = t.WithColdStart(*w.Cold, 0)
	}
	t = t.WithColdStart(t.ColdLimit, time.Duration(w.Warm))
	return t
}

func jsonForm(c fleet.Configuration) configuration {
	w := configuration{Domains: []domain{}, Services: []service{}, Accounts: []account{}, Targets: []target{}}
	for _, d := range c.Domains() {
		w.Domains = append(w.Domains, domain{Name: d.Name, Out: d.Evacuated})
	}
	for _, s := range c.Services() {
		deadline := Duration(s.Deadline)
		w.Services = append(w.Services, service{Name: s.Name, Kind: string(s.Kind), Deadline: &deadline, Idempotent: s.IdempotentCalls(), Resumes: s.Resumes})
	}
	for _, a := range c.Accounts() {
		w.Accounts = append(w.Accounts, account{
			Name: a.Name, Digest: a.Digest, Rate: &a.Rate, Burst: &a.Burst,
			Concurrent: &a.MaxConcurrent, Priority: a.Priority,
		})
	}
	for _, t := range c.Targets() {
		w.Targets = append(w.Targets, target{
			Name: t.Name, Service: t.Service, Domain: t.Domain, Address: t.Address,
			Limit: &t.Limit, Cold: &t.ColdLimit, Warm: Duration(t.RampUp), Load: t.RequiredLoad, Leaving: t.Leaving,
		})
	}
	for _, g := range c.Groups() {
		w.Groups = append(w.Groups, group{Name: g.Name, Experts: g.Experts, Targets: g.Targets()})
	}
	return w
}
