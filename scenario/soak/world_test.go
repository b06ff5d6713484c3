package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	gateways     = 3
	ranks        = 4
	plainServers = 3
	grace        = 6 * time.Second        // setting of the gateways
	linger       = 700 * time.Millisecond // setting of the gateways

	seriesGap = 50 * time.Millisecond // between two signals of a series
)

// process is one of the real programs. An exit that the test did not cause is a
// violation.
type process struct {
	world    *world
	name     string
	role     string
	settings string // path of the settings file

	mu        sync.Mutex
	command   *exec.Cmd  // guarded by mu; nil while the process should not run
	ended     chan error // guarded by mu; receives the result of command.Wait
	lastFault time.Time  // guarded by mu; when it was last started, signaled or ended
	paused    bool       // guarded by mu
	logSize   int64      // guarded by mu; bytes in the log file before the start

	replacing sync.Mutex // held while the process is stopped and started again
}

func (p *process) start() {
	command := exec.Command(binary, p.role, "--settings", p.settings)
	log, err := os.OpenFile(p.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	command.Stdout, command.Stderr = log, log
	logSize, err := log.Seek(0, io.SeekEnd)
	if err != nil {
		panic(err)
	}
	if err := command.Start(); err != nil {
		panic(err)
	}
	ended := make(chan error, 1)
	p.mu.Lock()
	p.command, p.ended, p.lastFault, p.paused, p.logSize = command, ended, time.Now(), false, logSize
	p.mu.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close()
		p.mu.Lock()
		if p.command == command {
			p.world.ledger.addViolation("EXIT: %s exited on its own: %v", p.name, err)
		}
		p.mu.Unlock()
		ended <- err
	}()
}

// signal sends a signal to the process, unless it should not run.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.lastFault, p.paused = time.Now(), s == syscall.SIGSTOP
		_ = p.command.Process.Signal(s)
	}
}

// end sends the signals in turn, seriesGap apart, and waits for the process to end. It
// returns an error if the process fails or outlives its grace period. A process that a
// signal ended before main counts as ended cleanly.
func (p *process) end(series ...syscall.Signal) error {
	p.mu.Lock()
	command, ended, logSize := p.command, p.ended, p.logSize
	p.command, p.lastFault = nil, time.Now()
	p.mu.Unlock()
	if command == nil {
		return nil
	}
	killAt := time.Now().Add(grace + time.Second)
	_ = command.Process.Signal(syscall.SIGCONT)
	for i, s := range series {
		_ = command.Process.Signal(s)
		wait := seriesGap
		if i == len(series)-1 {
			wait = time.Until(killAt)
		}
		select {
		case err := <-ended:
			if s == syscall.SIGKILL || p.endedBeforeMain(err, series[:i+1], logSize) {
				return nil
			}
			return err
		case <-time.After(wait):
		}
	}
	_ = command.Process.Kill()
	<-ended
	return fmt.Errorf("%s still runs after its grace period", p.name)
}

// endedBeforeMain reports whether one of the sent signals ended the process before it
// wrote to its log. The program can't handle signals before main starts, and it has
// served no request by then. The regression seeds show it: SIGTERM or SIGHUP a few ms
// after the start of a process that had written nothing.
func (p *process) endedBeforeMain(err error, sent []syscall.Signal, logSize int64) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) || !slices.Contains(sent, exit.Sys().(syscall.WaitStatus).Signal()) {
		return false
	}
	now, err := os.Stat(p.settings + ".log")
	return err == nil && now.Size() == logSize
}

// undisturbed reports whether the process ran without a fault from settleTime
// before moment until now.
func (p *process) undisturbed(moment time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused && p.lastFault.Add(settleTime).Before(moment)
}

// faultFree reports whether the process has run without a fault since moment.
func (p *process) faultFree(moment time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused && p.lastFault.Before(moment)
}

// gateway is the process of a gateway, its addresses and its link to the store.
type gateway struct {
	process
	ip      string
	address string
	link    *relay // to the store
}

// world holds the processes, the stand-ins and the records of one run of the soak.
type world struct {
	t           *testing.T
	started     time.Time
	network     int // N of the loopback network 127.N.0.0/16
	store       *store
	group       *group
	ledger      *ledger
	gateways    []*gateway
	stewards    []*process
	servers     []*server
	crashRecord crashRecord
	crashing    sync.WaitGroup // replacements of servers that requests crashed
	links       []*relay       // to the servers, in the order of servers

	mu           sync.Mutex
	version      int  // of the configuration; guarded by mu
	extraTenants int  // tenants x1, x2, ... that were given a key so far; guarded by mu
	lastHasKey   bool // whether the last extra tenant still has its key; guarded by mu
}

// ip returns an address in the loopback network of the run.
func (w *world) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.network, third, fourth)
}

// newWorld starts the stand-ins and processes, and waits until all gateways are ready.
func newWorld(t *testing.T, network int, rng *rand.Rand) *world {
	t.Helper()
	w := &world{t: t, started: time.Now(), network: network, store: newStore()}
	w.ledger = newLedger(w)
	w.group = newGroup(ranks, rng)
	go w.group.run()
	t.Cleanup(func() { close(w.group.done) })
	listener, err := net.Listen("tcp", w.ip(0, 1)+":7000")
	must(t, err)
	serving := &http.Server{Handler: w.store}
	go func() { _ = serving.Serve(listener) }()
	t.Cleanup(func() { _ = serving.Close() })
	w.configure()
	for i := range ranks + plainServers {
		w.addServer(i)
	}
	dir := t.TempDir()
	for i := range gateways {
		w.addGateway(dir, i)
	}
	for i := range ranks {
		w.addSteward(dir, i)
	}
	w.awaitReady()
	return w
}

// must fails the test if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (w *world) addServer(i int) {
	s := &server{world: w, service: "model", zone: fmt.Sprint("z", i%2), address: w.ip(3, 10+i) + ":7100", listen: w.ip(4, 10+i) + ":7100", rank: i, index: i}
	if i >= ranks {
		s.service, s.rank = "plain", -1
	}
	link, err := newRelay(s.address, s.listen, true)
	must(w.t, err)
	must(w.t, s.start(fmt.Sprintf("i-%d-0", i)))
	w.servers, w.links = append(w.servers, s), append(w.links, link)
	w.t.Cleanup(func() { s.stop(); link.close() })
}

func (w *world) addGateway(dir string, i int) {
	ip := w.ip(1, 10+i)
	link, err := newRelay(w.ip(2, 10+i)+":7000", w.ip(0, 1)+":7000", true)
	must(w.t, err)
	w.t.Cleanup(link.close)
	g := &gateway{process: process{world: w, name: fmt.Sprint("gateway-", i), role: "gateway"}, ip: ip, address: ip + ":8000", link: link}
	g.settings = filepath.Join(dir, g.name)
	must(w.t, os.WriteFile(g.settings, fmt.Appendf(nil, `{"name": %q, "domain": "z%d", "listen": "%s:8000", "admin": "%s:8001", "metrics": "%s:8002",
		"control": "%s:8003", "store": "%s:7000", "peers": ["%s:8003"], "revoke": "%s", "overshoot": 1.5, "slack": 5, "linger": "%s", "grace": "%s"}`,
		g.name, i%2, ip, ip, ip, ip, w.ip(2, 10+i), w.ip(1, 10), revokeTime, linger, grace), 0o600))
	g.start()
	w.gateways = append(w.gateways, g)
	w.t.Cleanup(func() { _ = g.end(syscall.SIGKILL) })
}

func (w *world) addSteward(dir string, i int) {
	ip := w.ip(3, 10+i)
	p := &process{world: w, name: fmt.Sprint("steward-", i), role: "steward"}
	p.settings = filepath.Join(dir, p.name)
	must(w.t, os.WriteFile(p.settings, fmt.Appendf(nil, `{"name": %q, "ip": %q, "port": 9100, "metrics": "%s:9465", "store": "%s:7000",
		"target": "%s:7100", "service": "model"}`, p.name, ip, ip, w.ip(0, 1), ip), 0o600))
	p.start()
	w.stewards = append(w.stewards, p)
	w.t.Cleanup(func() { _ = p.end(syscall.SIGKILL) })
}

// awaitReady waits up to 10 s for each gateway to be ready.
func (w *world) awaitReady() {
	for _, g := range w.gateways {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			response, err := http.Get("http://" + g.ip + ":8001/hornbeamtray/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				w.t.Fatalf("%s is not ready after 10 s: %v", g.name, err)
			}
		}
	}
}

// configure publishes a new version of the configuration, 1 to 3 above the last.
func (w *world) configure() {
	w.mu.Lock()
	w.version += 1 + w.version%3
	tenants := []map[string]any{{"name": "t0", "api_keys": []string{"key-t0"}}, {"name": "t1", "api_keys": []string{"key-t1"}}}
	if w.lastHasKey {
		tenants = append(tenants, map[string]any{"name": fmt.Sprint("x", w.extraTenants), "api_keys": []string{fmt.Sprint("key-x", w.extraTenants)}})
	}
	version := w.version
	w.mu.Unlock()
	route := func(prefix, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": prefix, "host": "soak.example", "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 3000,
			"latency_goal_ms": 400, "max_attempts": 3, "resumable": resumable,
		}
	}
	w.store.put("op/config", map[string]any{
		"version": version, "tenants": tenants,
		"routes": []any{route("/once/", "non_idempotent", "plain", false), route("/again/", "idempotent", "plain", false), route("/flow/", "stream", "model", true)},
		"services": []any{
			map[string]any{"name": "model", "cold_s": 1, "cold_per_s": 20, "engine": map[string]any{"sets": sets, "experts": experts, "placements": slotsPerRank, "spare": maxNewPerRank}},
			map[string]any{"name": "plain", "cold_s": 1, "cold_per_s": 20},
		},
	})
}

// replaceKey revokes the key of the last extra tenant and, if grant is set, gives a new
// tenant a key.
func (w *world) replaceKey(grant bool) {
	w.mu.Lock()
	last := fmt.Sprint("x", w.extraTenants)
	hadKey := w.lastHasKey
	if grant {
		w.extraTenants++
	}
	w.lastHasKey = grant
	w.mu.Unlock()
	w.configure()
	if hadKey {
		w.ledger.mu.Lock()
		w.ledger.revokedAt[last] = time.Now()
		w.ledger.mu.Unlock()
	}
}

// pickTenant picks a tenant at random and returns its key, which may have been revoked.
func (w *world) pickTenant(rng *rand.Rand) (tenant, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	tenant = fmt.Sprint("t", rng.IntN(2))
	if w.extraTenants > 0 && rng.IntN(3) == 0 {
		tenant = fmt.Sprint("x", w.extraTenants)
	}
	return tenant, "key-" + tenant
}

// mayBeUnauthorized reports whether requests of a tenant may get status 401: the key
// of an extra tenant is new or may have been revoked.
func (w *world) mayBeUnauthorized(tenant string) bool { return tenant[0] == 'x' }

// upToDate reports whether the gateway at an IP must have applied what the store
// acknowledged at a time: the gateway, the store and the link between them have had no
// fault from settleTime before that time until now.
func (w *world) upToDate(ip string, at time.Time) bool {
	lastFault, faultFree := w.store.faultFreeSince()
	for _, g := range w.gateways {
		if g.ip == ip {
			return faultFree && lastFault.Add(settleTime).Before(at) && g.undisturbed(at) && g.link.undisturbed(at)
		}
	}
	return false
}
