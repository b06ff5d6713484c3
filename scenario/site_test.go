package scenario

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"hornbeamtray/adapter/document"
	"hornbeamtray/core/fleet"
)

type siteKey struct{}

// site is a set of processes on a loopback network of its own.
type site struct {
	dir       string
	network   string // first three octets
	options   map[string]string
	commands  map[string][]string // command line by process name
	processes map[string]*exec.Cmd
	order     []string
	changed   time.Time // when the last publication or signal was sent
}

func newSite(dir string) *site {
	h := fnv.New32a()
	fmt.Fprint(h, dir, os.Getpid())
	sum := h.Sum32()
	return &site{
		dir: dir, network: fmt.Sprintf("127.%d.%d", 1+sum%250, 1+(sum>>8)%250),
		options: map[string]string{
			"domains": "1", "models": "1", "plains": "1", "entries": "1", "limit": "8", "rate": "100000",
			"most": "0", "answer": "65536", "body": "4096", "linger": "300ms", "deadline": "60s", "calls": "400", "inflight": "1024",
		},
		commands: map[string][]string{}, processes: map[string]*exec.Cmd{},
	}
}

func (s *site) number(option string) int {
	n, _ := strconv.Atoi(s.options[option])
	return n
}

func (s *site) url(host int, port string) string {
	return fmt.Sprintf("http://%s.%d:%s", s.network, host, port)
}

func (s *site) address(host int, port string) string {
	return fmt.Sprintf("%s.%d:%s", s.network, host, port)
}

// place is where one target and its agent run.
type place struct {
	name, service, kind, domain string
	host                        int
}

func (s *site) places() []place {
	var list []place
	host := 50
	for d := range s.number("domains") {
		for i := range s.number("models") {
			list = append(list, place{fmt.Sprintf("model-%d-%d", d, i), "quotes", "model", fmt.Sprintf("d%d", d), host + i})
		}
		host += s.number("models")
		for i := range s.number("plains") {
			list = append(list, place{fmt.Sprintf("plain-%d-%d", d, i), "orders", "plain", fmt.Sprintf("d%d", d), host + i})
		}
		host += s.number("plains")
	}
	return list
}

// configuration returns what the operators of the site declare. Options of the
// form NAME=out and NAME=leaving take a domain or a target out.
func (s *site) configuration() fleet.Configuration {
	c := fleet.NewConfiguration().
		WithService(fleet.NewService("quotes", fleet.Model).WithIdempotent("generate").WithResumes(s.options["resumes"] == "true").WithDeadline(s.duration("deadline"))).
		WithService(fleet.NewService("orders", fleet.Plain).WithIdempotent("status").WithDeadline(s.duration("deadline"))).
		WithAccount(fleet.NewAccount("workshop", demoDigest()).WithRate(float64(s.number("rate")), s.number("rate")).WithMaxConcurrent(5000)).
		WithAccount(fleet.NewAccount("other", hexDigest("other-key")).WithRate(float64(s.number("rate")), s.number("rate")).WithMaxConcurrent(5000)).
		WithAccount(fleet.NewAccount("shared", hexDigest("shared-key")).WithRate(5, 30)).
		WithAccount(fleet.NewAccount("small", smallDigest()).WithRate(0.01, 2).WithMaxConcurrent(1))
	for d := range s.number("domains") {
		name := fmt.Sprintf("d%d", d)
		c = c.WithDomain(fleet.NewDomain(name).WithEvacuated(s.options[name] == "out"))
	}
	for _, p := range s.places() {
		port := "7400"
		if s.options["relays"] == "true" {
			port = "7410"
		}
		target := fleet.NewTarget(p.name, p.service, p.domain, s.address(p.host, port)).
			WithLimit(s.number("limit")).WithRequiredLoad(s.options["load"]).WithLeaving(s.options[p.name] == "leaving")
		if s.options["cold"] != "" {
			target = target.WithColdStart(s.number("cold"), s.duration("warm"))
		}
		c = c.WithTarget(target)
	}
	return s.withRest(c)
}

// withRest adds the rest of a large fleet, which does not run: as many targets
// and client accounts as the options say, over 31 failure domains.
func (s *site) withRest(c fleet.Configuration) fleet.Configuration {
	const domains = 31
	for i := range s.number("targets") {
		domain := fmt.Sprintf("rest-%d", i%domains)
		c = c.WithDomain(fleet.NewDomain(domain)).
			WithTarget(fleet.NewTarget(fmt.Sprintf("rest-%d", i), "quotes", domain, fmt.Sprintf("127.251.%d.%d:9", i/250, i%250)))
	}
	for i := range s.number("accounts") {
		c = c.WithAccount(fleet.NewAccount(fmt.Sprintf("rest-%d", i), hexDigest(fmt.Sprint(i))))
	}
	return c
}

// lay writes the settings of all processes and notes their command lines.
func (s *site) lay() error {
	if err := os.MkdirAll(s.dir, 0o755); err != nil {
		return err
	}
	s.add("platform", "standin", "platform", "--listen", s.address(1, "7400"))
	s.add("relay-platform", "standin", "relay", "--listen", s.address(1, "7410"), "--to", s.address(1, "7400"), "--admin", s.address(1, "7411"))
	for _, p := range s.places() {
		s.add("target-"+p.name, "standin", p.kind, "--listen", s.address(p.host, "7402"), "--most", s.options["most"],
			"--cold", orZero(s.options["cold"]), "--warm", s.duration("warm").String(), "--journal", s.journal(p.name), "--fencing="+strconv.FormatBool(s.options["fencing"] == "true"))
		if s.options["relays"] == "true" {
			s.add("relay-"+p.name, "standin", "relay", "--listen", s.address(p.host, "7410"),
				"--to", s.address(p.host, "7400"), "--admin", s.address(p.host, "7411"))
		}
		err := s.settings("agent-"+p.name, "agent", map[string]any{
			"name": p.name, "listen": s.address(p.host, "7400"), "admin": s.address(p.host, "7401"),
			"peers": s.peers(p.domain, ""), "target": s.url(p.host, "7402"), "answer": s.number("answer"),
		}, "linger", "drain", "release", "held")
		if err != nil {
			return err
		}
	}
	for d := range s.number("domains") {
		domain := fmt.Sprintf("d%d", d)
		for i := range s.number("entries") {
			host := s.entryHost(d, i)
			err := s.settings(fmt.Sprintf("entry-%d-%d", d, i), "entry", map[string]any{
				"name": fmt.Sprintf("entry-%d-%d", d, i), "domain": domain,
				"listen": s.address(host, "7400"), "admin": s.address(host, "7401"),
				"platform": s.url(1, "7410"), "peers": s.peers(domain, s.url(host, "7401")), "body": s.number("body"), "calls": s.number("calls"), "inflight": s.number("inflight"),
			}, "patience", "linger", "drain", "silence", "stall", "life")
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *site) settings(name, program string, members map[string]any, optional ...string) error {
	for _, option := range optional {
		if n := s.number(option); n > 0 {
			members[option] = n
		} else if value, found := s.options[option]; found {
			members[option] = value
		}
	}
	text, err := json.Marshal(members)
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, name+".jsonc")
	s.add(name, program, "--settings", path)
	return os.WriteFile(path, text, 0o644)
}

func (s *site) add(name string, command ...string) {
	s.commands[name] = command
	s.order = append(s.order, name)
}

// seen returns how many targets each entry instance sees serving at first: all,
// unless the option says that it watches fewer.
func (s *site) seen() int {
	if n := s.number("seen"); n > 0 {
		return n
	}
	return len(s.places())
}

func (s *site) entryHost(domain, i int) int {
	return 10 + domain*s.number("entries") + i
}

// peers returns the admin URLs of a domain's entry instances but one, and of one
// in the next domain.
func (s *site) peers(domain, without string) []string {
	peers := []string{}
	for d := range s.number("domains") {
		if fmt.Sprintf("d%d", d) != domain {
			continue
		}
		for i := range s.number("entries") {
			if url := s.url(s.entryHost(d, i), "7401"); url != without {
				peers = append(peers, url)
			}
		}
		if next := (d + 1) % s.number("domains"); next != d {
			peers = append(peers, s.url(s.entryHost(next, 0), "7401"))
		}
	}
	return peers
}

func (s *site) journal(target string) string {
	return filepath.Join(s.dir, target+".journal")
}

func (s *site) duration(option string) time.Duration {
	d, _ := time.ParseDuration(s.options[option])
	return d
}

func orZero(text string) string {
	if text == "" {
		return "0"
	}
	return text
}

func (s *site) publicationText() ([]byte, error) {
	return document.PrintConfiguration(s.configuration())
}

// publication writes the configuration to a file and returns its path.
func (s *site) publication() (string, error) {
	text, err := s.publicationText()
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.dir, "configuration.jsonc")
	return path, os.WriteFile(path, text, 0o644)
}

// spawn starts a process of the site. Its output goes to a log file.
func (s *site) spawn(name string) error {
	command, found := s.commands[name]
	if !found {
		return fmt.Errorf("process %q does not exist in the site", name)
	}
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self)
	cmd.Args = command
	cmd.Stdout, cmd.Stderr = log, log
	s.processes[name] = cmd
	return cmd.Start()
}

func (s *site) signal(name string, sig syscall.Signal) error {
	cmd, found := s.processes[name]
	if !found {
		return fmt.Errorf("process %q does not run", name)
	}
	return cmd.Process.Signal(sig)
}

// reap waits for a process to end and returns its exit code, -1 for a signal.
func (s *site) reap(name string) (int, error) {
	cmd, found := s.processes[name]
	if !found {
		return 0, fmt.Errorf("process %q does not run", name)
	}
	delete(s.processes, name)
	_ = cmd.Wait()
	return cmd.ProcessState.ExitCode(), nil
}

func (s *site) close() {
	for name := range s.processes {
		_ = s.signal(name, syscall.SIGKILL)
		_, _ = s.reap(name)
	}
}

func (s *site) set(pairs []string) error {
	for _, pair := range pairs {
		option, value, found := strings.Cut(pair, "=")
		if !found {
			return fmt.Errorf("%q is not OPTION=VALUE", pair)
		}
		s.options[option] = value
	}
	return nil
}
