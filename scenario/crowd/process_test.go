package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	sampleInterval   = 50 * time.Millisecond // between two looks at a process
	maxAddressSpace  = 6 << 20               // in KiB; ends a process that takes memory without bound before it takes the machine's
	abandonedMemory  = 1 << 30               // resident bytes at which the crowd leaves early: the bound has long been exceeded
	gatewayMemory    = 184_000_000           // memory of the smallest machine of a gateway or entry instance
	helperMemory     = 152_000_000           // memory of the smallest machine of a steward or agent
	gatewayFiles     = 4100                  // descriptors on the smallest machine of a gateway or entry instance
	helperFiles      = 2048                  // descriptors on the smallest machine of a steward or agent
	settingsFileMode = 0o600
)

// programs is the directory of the built programs.
var programs string

// TestMain builds the programs, without the race detector: the bound on memory is about
// the programs as they are shipped.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	programs = dir
	for _, program := range []string{"platform", "entry", "agent"} {
		if text, err := exec.Command("go", "build", "-o", filepath.Join(dir, program), "hornbeamtray/"+program).CombinedOutput(); err != nil {
			panic(string(text))
		}
	}
	return m.Run()
}

// process is one of the real programs. It records the most descriptors seen and the peak
// memory.
type process struct {
	name   string
	bytes  int64 // bound on the peak memory
	files  int   // bound on the descriptors
	cmd    *exec.Cmd
	log    string
	ended  chan struct{} // closed when the process has ended
	closed chan struct{} // closed by Close
	loops  sync.WaitGroup

	mostFiles  atomic.Int64
	peakMemory atomic.Int64 // as last read; /proc has none of a process that ended
}

// startProcess starts a program with a settings file. If files is lowered by the test, it
// also limits the descriptors of the process.
func startProcess(t *testing.T, name, settings string, bytes int64, files int, command ...string) *process {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, name)
	must(t, os.WriteFile(path, []byte(settings), settingsFileMode))
	log, err := os.Create(path + ".log")
	must(t, err)
	defer log.Close()
	limits := fmt.Sprintf(`ulimit -v %d && ulimit -n %d && exec "$0" "$@"`, maxAddressSpace, files)
	arguments := append([]string{"-c", limits, filepath.Join(programs, command[0])}, command[1:]...)
	p := &process{name: name, bytes: bytes, files: files, log: log.Name(), ended: make(chan struct{}), closed: make(chan struct{})}
	p.cmd = exec.Command("sh", append(arguments, "--settings", path)...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	must(t, p.cmd.Start())
	p.loops.Go(p.run)
	p.loops.Go(p.loop)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

// run waits for the process to end.
func (p *process) run() {
	_ = p.cmd.Wait()
	close(p.ended)
}

// loop samples the memory and the descriptors of the process.
func (p *process) loop() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		p.sample()
		select {
		case <-p.ended:
			return
		case <-p.closed:
			return
		case <-ticker.C:
		}
	}
}

// peakPattern matches the peak resident memory in /proc/PID/status.
var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

func (p *process) sample() {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	if files, err := os.ReadDir(dir + "fd"); err == nil {
		p.mostFiles.Store(max(p.mostFiles.Load(), int64(len(files))))
	}
	if text, err := os.ReadFile(dir + "status"); err == nil {
		if match := peakPattern.FindSubmatch(text); match != nil {
			kib, _ := strconv.ParseInt(string(match[1]), 10, 64)
			p.peakMemory.Store(max(p.peakMemory.Load(), kib<<10))
		}
	}
}

// abandoned reports whether the process has ended or took so much memory that the crowd
// should leave.
func (p *process) abandoned() bool {
	select {
	case <-p.ended:
		return true
	default:
		return p.peakMemory.Load() > abandonedMemory
	}
}

// check checks that the process runs and stayed within its bounds.
func (p *process) check(t *testing.T) {
	t.Helper()
	p.sample()
	t.Logf("%s: peak memory %.1f MB, at most %d descriptors", p.name, float64(p.peakMemory.Load())/1e6, p.mostFiles.Load())
	select {
	case <-p.ended:
		text, _ := os.ReadFile(p.log)
		t.Errorf("%s ended: %v\n%s", p.name, p.cmd.ProcessState, text[max(0, len(text)-2000):])
	default:
	}
	if got := p.peakMemory.Load(); got >= p.bytes {
		t.Errorf("%s took %.1f MB of memory at its peak, want less than %.1f MB", p.name, float64(got)/1e6, float64(p.bytes)/1e6)
	}
	if got := p.mostFiles.Load(); got >= int64(p.files) {
		t.Errorf("%s had %d descriptors, want less than %d", p.name, got, p.files)
	}
}

// Close kills the process and waits for its end.
func (p *process) Close() error {
	close(p.closed)
	err := p.cmd.Process.Signal(syscall.SIGKILL)
	p.loops.Wait()
	return err
}

// must fails the test if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
