// Command stand-2 plays the cases of the second review: it starts the programs of the
// deploy file as processes of their own, and stand-ins for clients, servers and the
// platform's store on loopback addresses.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// World is what a case runs in: a record, a temporary folder, the store and processes.
type World struct {
	Root    string // of the repository
	Trouble bool

	begun time.Time
	dir   string
	net   string // the first two bytes of all addresses, as text
	next  int

	mu     sync.Mutex
	record *os.File
	procs  []*Process
}

// newWorld returns a world whose record is record.txt in a folder.
func newWorld(root, folder string) (*World, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		return nil, err
	}
	w := &World{Root: root, Trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), dir: dir, record: record}
	w.net = fmt.Sprintf("127.%d", 20+rand.IntN(200))
	w.next = 1 + rand.IntN(200)*250
	return w, nil
}

// Log writes a line to the record.
func (w *World) Log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.begun).Seconds()}, args...)...)
}

// Close ends all processes that the world started and removes its folder.
func (w *World) Close() {
	for _, p := range w.procs {
		p.Kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// IP returns a new loopback address, which stands for a machine.
func (w *World) IP() string {
	w.next++
	return fmt.Sprintf("%s.%d.%d", w.net, w.next/250%250, 1+w.next%250)
}

// Free returns a free port of an address.
func Free(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// placeholder matches a placeholder of a settings template.
var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// Settings fills in a template of the deploy folder.
func (w *World) Settings(template string, fields map[string]any) (string, error) {
	text, err := os.ReadFile(filepath.Join(w.Root, template))
	if err != nil {
		return "", err
	}
	out := placeholder.ReplaceAllStringFunc(string(text), func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, known := fields[parts[1]]
		if !known {
			err = errors.Join(err, fmt.Errorf("no value for %s", parts[1]))
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
	if err != nil {
		return "", err
	}
	file := filepath.Join(w.dir, fmt.Sprintf("settings-%d", rand.Uint32()))
	return file, os.WriteFile(file, []byte(out), 0o600)
}

// role returns the command and the template of a role of the deploy file.
func (w *World) role(name string) (command []string, template string, err error) {
	text, err := os.ReadFile(filepath.Join(w.Root, "deploy/system.toml"))
	if err != nil {
		return nil, "", err
	}
	_, section, found := strings.Cut(string(text), "[roles."+name+"]")
	if !found {
		return nil, "", fmt.Errorf("no role %s", name)
	}
	section, _, _ = strings.Cut(section, "\n[")
	value := func(key string) string {
		_, rest, _ := strings.Cut(section, "\n"+key+" = \"")
		rest, _, _ = strings.Cut(rest, "\"")
		return rest
	}
	return strings.Fields(value("run")), value("template"), nil
}

// Process is a process of one of the programs.
type Process struct {
	world *World
	name  string
	role  string
	file  string
	cmd   *exec.Cmd
	ended chan struct{}
	log   *os.File
}

// Start starts a role with settings.
func (w *World) Start(role, name string, fields map[string]any) (*Process, error) {
	_, template, err := w.role(role)
	if err != nil {
		return nil, err
	}
	file, err := w.Settings(template, fields)
	if err != nil {
		return nil, err
	}
	p := &Process{world: w, name: name, role: role, file: file}
	w.procs = append(w.procs, p)
	return p, p.Restart()
}

// Restart starts the process again after it ended.
func (p *Process) Restart() error {
	command, _, err := p.world.role(p.role)
	if err != nil {
		return err
	}
	p.log, err = os.OpenFile(filepath.Join(p.world.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(filepath.Join(p.world.Root, command[0]), command[1:]...)
	p.cmd.Dir = p.world.Root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMTRAY_NODE_FILE=" + p.file}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	go func() {
		_ = p.cmd.Wait()
		close(ended)
	}()
	p.world.Log("%s started", p.name)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.world.Log("%s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	if p.cmd == nil || p.cmd.Process == nil || p.Ended() {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// Lines returns the lines of the process's log that hold a text.
func (p *Process) Lines(text string) []string {
	all, _ := os.ReadFile(filepath.Join(p.world.dir, p.name+".log"))
	var found []string
	for line := range strings.SplitSeq(string(all), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// Until waits until a condition holds, and reports whether it did in time.
func Until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
