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

// site is a set of processes on its own loopback network. The last octet of an
// address is 1 for the platform, 10 and up for entry instances, and 50 and up for
// targets with their agents. The ports are 7400 for requests and the platform, 7401
// for the admin interface, 7402 for the target, and 7410 and 7411 for a relay and
// its admin interface.
type site struct {
	dir          string
	network      string              // first three octets
	options      map[string]string   // value by name, see configuration and writeSettings
	commands     map[string][]string // command line by process name
	processes    map[string]*exec.Cmd
	processNames []string
	changedAt    time.Time // time of the last publication or signal
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

func (s *site) intOption(option string) int {
	n, _ := strconv.Atoi(s.options[option])
	return n
}

func (s *site) url(host int, port string) string {
	return fmt.Sprintf("http://%s.%d:%s", s.network, host, port)
}

func (s *site) address(host int, port string) string {
	return fmt.Sprintf("%s.%d:%s", s.network, host, port)
}

// targetSpec describes a target and the host of its agent.
type targetSpec struct {
	name, service, kind, domain string
	host                        int
}

func (s *site) targetSpecs() []targetSpec {
	var list []targetSpec
	host := 50
	for d := range s.intOption("domains") {
		for i := range s.intOption("models") {
			list = append(list, targetSpec{fmt.Sprintf("model-%d-%d", d, i), "quotes", "model", fmt.Sprintf("d%d", d), host + i})
		}
		host += s.intOption("models")
		for i := range s.intOption("plains") {
			list = append(list, targetSpec{fmt.Sprintf("plain-%d-%d", d, i), "orders", "plain", fmt.Sprintf("d%d", d), host + i})
		}
		host += s.intOption("plains")
	}
	return list
}

// configuration returns the configuration that the options describe. The option
// DOMAIN=out evacuates a failure domain; TARGET=leaving marks a target as leaving.
func (s *site) configuration() fleet.Configuration {
	c := fleet.NewConfiguration().
		WithService(fleet.NewService("quotes", fleet.Model).WithIdempotent("generate").WithResumes(s.options["resumes"] == "true").WithDeadline(s.durationOption("deadline"))).
		WithService(fleet.NewService("orders", fleet.Plain).WithIdempotent("status").WithDeadline(s.durationOption("deadline"))).
		WithAccount(fleet.NewAccount("workshop", demoDigest()).WithRate(float64(s.intOption("rate")), s.intOption("rate")).WithMaxConcurrent(5000)).
		WithAccount(fleet.NewAccount("other", hexDigest("other-key")).WithRate(float64(s.intOption("rate")), s.intOption("rate")).WithMaxConcurrent(5000)).
		WithAccount(fleet.NewAccount("shared", hexDigest("shared-key")).WithRate(5, 30)).
		WithAccount(fleet.NewAccount("small", smallDigest()).WithRate(0.01, 2).WithMaxConcurrent(1))
	for d := range s.intOption("domains") {
		name := fmt.Sprintf("d%d", d)
		c = c.WithDomain(fleet.NewDomain(name).WithEvacuated(s.options[name] == "out"))
	}
	for _, spec := range s.targetSpecs() {
		port := "7400"
		if s.options["relays"] == "true" {
			port = "7410"
		}
		target := fleet.NewTarget(spec.name, spec.service, spec.domain, s.address(spec.host, port)).
			WithLimit(s.intOption("limit")).WithRequiredLoad(s.options["load"]).WithLeaving(s.options[spec.name] == "leaving")
		if s.options["cold"] != "" {
			target = target.WithColdStart(s.intOption("cold"), s.durationOption("warm"))
		}
		c = c.WithTarget(target)
	}
	return s.withUnstartedFleet(c)
}

// withUnstartedFleet adds targets and client accounts that have no processes, to
// test large configurations. The options "targets" and "accounts" give their
// numbers; the targets are spread over 31 failure domains.
func (s *site) withUnstartedFleet(c fleet.Configuration) fleet.Configuration {
	const domains = 31
	for i := range s.intOption("targets") {
		domain := fmt.Sprintf("rest-%d", i%domains)
		c = c.WithDomain(fleet.NewDomain(domain)).
			WithTarget(fleet.NewTarget(fmt.Sprintf("rest-%d", i), "quotes", domain, fmt.Sprintf("127.251.%d.%d:9", i/250, i%250)))
	}
	for i := range s.intOption("accounts") {
		c = c.WithAccount(fleet.NewAccount(fmt.Sprintf("rest-%d", i), hexDigest(fmt.Sprint(i))))
	}
	return c
}

// writeSettings writes the settings files and records the command lines of all
// processes.
func (s *site) writeSettings() error {
	if err := os.MkdirAll(s.dir, 0o755); err != nil {
		return err
	}
	s.addProcess("platform", "standin", "platform", "--listen", s.address(1, "7400"))
	s.addProcess("relay-platform", "standin", "relay", "--listen", s.address(1, "7410"), "--to", s.address(1, "7400"), "--admin", s.address(1, "7411"))
	for _, spec := range s.targetSpecs() {
		s.addProcess("target-"+spec.name, "standin", spec.kind, "--listen", s.address(spec.host, "7402"), "--most", s.options["most"],
			"--cold", orZero(s.options["cold"]), "--warm", s.durationOption("warm").String(), "--journal", s.journal(spec.name), "--fencing="+strconv.FormatBool(s.options["fencing"] == "true"))
		if s.options["relays"] == "true" {
			s.addProcess("relay-"+spec.name, "standin", "relay", "--listen", s.address(spec.host, "7410"),
				"--to", s.address(spec.host, "7400"), "--admin", s.address(spec.host, "7411"))
		}
		err := s.addWithSettings("agent-"+spec.name, "agent", map[string]any{
			"name": spec.name, "listen": s.address(spec.host, "7400"), "admin": s.address(spec.host, "7401"),
			"peers": s.peers(spec.domain, ""), "target": s.url(spec.host, "7402"), "answer": s.intOption("answer"),
		}, "linger", "drain", "release", "held")
		if err != nil {
			return err
		}
	}
	for d := range s.intOption("domains") {
		domain := fmt.Sprintf("d%d", d)
		for i := range s.intOption("entries") {
			host := s.entryHost(d, i)
			err := s.addWithSettings(fmt.Sprintf("entry-%d-%d", d, i), "entry", map[string]any{
				"name": fmt.Sprintf("entry-%d-%d", d, i), "domain": domain,
				"listen": s.address(host, "7400"), "admin": s.address(host, "7401"),
				"platform": s.url(1, "7410"), "peers": s.peers(domain, s.url(host, "7401")), "body": s.intOption("body"), "calls": s.intOption("calls"), "inflight": s.intOption("inflight"),
			}, "patience", "linger", "drain", "silence", "stall", "life")
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// addWithSettings writes a settings file and adds the process that reads it. Of
// the optional settings it writes those that are set as options of the site.
func (s *site) addWithSettings(name, program string, members map[string]any, optional ...string) error {
	for _, option := range optional {
		if n := s.intOption(option); n > 0 {
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
	s.addProcess(name, program, "--settings", path)
	return os.WriteFile(path, text, 0o644)
}

func (s *site) addProcess(name string, command ...string) {
	s.commands[name] = command
	s.processNames = append(s.processNames, name)
}

// initialTargets returns how many serving targets each entry instance shows after
// the start: the option "seen", or all targets if it is not set.
func (s *site) initialTargets() int {
	if n := s.intOption("seen"); n > 0 {
		return n
	}
	return len(s.targetSpecs())
}

func (s *site) entryHost(domain, i int) int {
	return 10 + domain*s.intOption("entries") + i
}

// peers returns the admin URLs of the domain's entry instances except excludedURL,
// and of one entry instance in the next domain, if there are several domains.
func (s *site) peers(domain, excludedURL string) []string {
	peers := []string{}
	for d := range s.intOption("domains") {
		if fmt.Sprintf("d%d", d) != domain {
			continue
		}
		for i := range s.intOption("entries") {
			if url := s.url(s.entryHost(d, i), "7401"); url != excludedURL {
				peers = append(peers, url)
			}
		}
		if next := (d + 1) % s.intOption("domains"); next != d {
			peers = append(peers, s.url(s.entryHost(next, 0), "7401"))
		}
	}
	return peers
}

func (s *site) journal(target string) string {
	return filepath.Join(s.dir, target+".journal")
}

func (s *site) durationOption(option string) time.Duration {
	d, _ := time.ParseDuration(s.options[option])
	return d
}

func orZero(text string) string {
	if text == "" {
		return "0"
	}
	return text
}

func (s *site) configurationText() ([]byte, error) {
	return document.PrintConfiguration(s.configuration())
}

// writeConfiguration writes the configuration to a file and returns its path.
func (s *site) writeConfiguration() (string, error) {
	text, err := s.configurationText()
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.dir, "configuration.jsonc")
	return path, os.WriteFile(path, text, 0o644)
}

// spawn starts a process of the site and appends its output to a log file.
func (s *site) spawn(name string) error {
	command, found := s.commands[name]
	if !found {
		return fmt.Errorf("process %q is not part of the site", name)
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
		return fmt.Errorf("process %q is not running", name)
	}
	return cmd.Process.Signal(sig)
}

// reap waits for a process to exit and returns its exit code, -1 if a signal ended
// it.
func (s *site) reap(name string) (int, error) {
	cmd, found := s.processes[name]
	if !found {
		return 0, fmt.Errorf("process %q is not running", name)
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

func (s *site) setOptions(pairs []string) error {
	for _, pair := range pairs {
		option, value, found := strings.Cut(pair, "=")
		if !found {
			return fmt.Errorf("%q is not OPTION=VALUE", pair)
		}
		s.options[option] = value
	}
	return nil
}
