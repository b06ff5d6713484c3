package scenario

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	pollInterval    = 50 * time.Millisecond
	maxAssaultPause = 400 * time.Millisecond // between two faults of cmdAssault
	maxFreeze       = 2 * time.Second
	// noRaceExitSleep disables the race detector's 1 s sleep at process exit.
	noRaceExitSleep = "GORACE=atexit_sleep_ms=0"
)

func demoDigest() string { return hexDigest("demo-key") }

func smallDigest() string { return hexDigest("small-key") }

func hexDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func siteOf(ts *testscript.TestScript) *site {
	return ts.Value(siteKey{}).(*site)
}

// cmdSite sets options and writes the settings files of all processes:
// site [OPTION=VALUE ...].
func cmdSite(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts)
	ts.Check(s.setOptions(args))
	ts.Check(s.writeSettings())
}

// cmdUp starts the named processes of the site, or all of them, and waits until
// every entry instance shows the expected number of targets as serving:
// up [NAME...]. After it starts the platform, it publishes the configuration.
func cmdUp(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts)
	names := args
	if len(names) == 0 {
		names = s.processNames
	}
	for _, name := range names {
		ts.Check(s.spawn(name))
		if name == "platform" {
			awaitOutput(ts, 10*time.Second, "", "standin", "get", s.url(1, "7400")+"/reads")
			publish(ts, s)
		}
	}
	for i := range s.intOption("domains") * s.intOption("entries") {
		pattern := fmt.Sprintf(`(?s)("state": "serving".*){%d}`, s.initialTargets())
		awaitOutput(ts, 20*time.Second, pattern, "tray", "show", s.url(10+i, "7401"))
	}
}

// cmdSpawn starts processes of the site: spawn NAME...
func cmdSpawn(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(siteOf(ts).spawn(name))
	}
}

// cmdSignal sends a signal to processes: signal TERM|KILL|STOP|CONT NAME...
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	for _, name := range args[1:] {
		ts.Check(siteOf(ts).signal(name, signals[args[0]]))
	}
	siteOf(ts).changedAt = time.Now()
}

// cmdAssault kills or freezes randomly chosen processes at random times:
// assault KILL|FREEZE COUNT SEED NAME... It restarts a killed process at once and
// resumes a frozen one after a random time below maxFreeze.
func cmdAssault(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts)
	count, seed, names := int(parseNumber(ts, args[1])), uint64(parseNumber(ts, args[2])), args[3:]
	random := rand.New(rand.NewPCG(seed, 8))
	for range count {
		time.Sleep(time.Duration(random.IntN(int(maxAssaultPause))))
		name := names[random.IntN(len(names))]
		if args[0] == "KILL" {
			ts.Check(s.signal(name, syscall.SIGKILL))
			_, err := s.reap(name)
			ts.Check(err)
			ts.Check(s.spawn(name))
			continue
		}
		ts.Check(s.signal(name, syscall.SIGSTOP))
		time.Sleep(time.Duration(random.IntN(int(maxFreeze))))
		ts.Check(s.signal(name, syscall.SIGCONT))
	}
}

// cmdReap waits for processes to exit and checks their exit code, -1 for a process
// ended by a signal: reap CODE NAME...
func cmdReap(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		code, err := siteOf(ts).reap(name)
		ts.Check(err)
		if strconv.Itoa(code) != args[0] {
			ts.Fatalf("%s exited with %d, not %s", name, code, args[0])
		}
	}
}

// cmdPublish sets options and publishes the configuration: publish [OPTION=VALUE ...].
func cmdPublish(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(siteOf(ts).setOptions(args))
	publish(ts, siteOf(ts))
}

func publish(ts *testscript.TestScript, s *site) {
	path, err := s.writeConfiguration()
	ts.Check(err)
	_, err = runProgram(ts, "standin", "publish", s.url(1, "7400"), path)
	ts.Check(err)
	s.changedAt = time.Now()
}

// cmdSession runs a program and appends the command, its output and its exit code
// to session.txt, with text that differs between runs replaced:
// session PROGRAM ...
func cmdSession(ts *testscript.TestScript, _ bool, args []string) {
	output, err := runProgram(ts, args...)
	text := fmt.Sprintf("$ %s\n%s", strings.Join(args, " "), output)
	if err != nil {
		text += err.Error() + "\n"
	}
	file, err := os.OpenFile(ts.MkAbs("session.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	defer file.Close()
	_, err = file.WriteString(normalize(ts, text) + "\n")
	ts.Check(err)
}

// cmdEventually runs a program repeatedly until it succeeds and its output matches,
// for at most TIME: eventually TIME PATTERN PROGRAM ...
func cmdEventually(ts *testscript.TestScript, _ bool, args []string) {
	bound, err := time.ParseDuration(args[0])
	ts.Check(err)
	awaitOutput(ts, bound, args[1], args[2:]...)
}

// cmdLogged checks that a process's log matches, or with ! that it does not:
// [!] logged NAME PATTERN.
func cmdLogged(ts *testscript.TestScript, neg bool, args []string) {
	text, err := os.ReadFile(filepath.Join(siteOf(ts).dir, args[0]+".log"))
	ts.Check(err)
	if regexp.MustCompile(args[1]).Match(text) == neg {
		ts.Fatalf("log of %s: want match of %q: %t\n%s", args[0], args[1], !neg, text)
	}
}

func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdVerify checks the load tool's record against the targets' journals:
// verify FILE. No request may have run twice, none recorded as not run may have
// run, and each request with a whole answer must have run.
func cmdVerify(ts *testscript.TestScript, _ bool, args []string) {
	runs := map[string]int{}
	for _, spec := range siteOf(ts).targetSpecs() {
		text, err := os.ReadFile(siteOf(ts).journal(spec.name))
		ts.Check(err)
		for line := range strings.Lines(string(text)) {
			runs[strings.Split(line, "\t")[1]]++
		}
	}
	counts := map[string]int{}
	for line := range strings.Lines(ts.ReadFile(args[0])) {
		request, outcome, _ := strings.Cut(strings.TrimSpace(line), "\t")
		counts[outcome]++
		switch n := runs[request]; {
		case n > 1:
			ts.Fatalf("request %s ran %d times", request, n)
		case outcome == "no" && n > 0:
			ts.Fatalf("request %s ran, but its caller was told that it did not", request)
		case outcome == "whole" && n == 0:
			ts.Fatalf("request %s was answered, but did not run", request)
		}
	}
	ts.Logf("%d requests ran; recorded outcomes: %v", len(runs), counts)
}

// cmdSettled checks that the targets started no run later than TIME after the last
// publication or signal: settled TIME TARGET...
func cmdSettled(ts *testscript.TestScript, _ bool, args []string) {
	bound, err := time.ParseDuration(args[0])
	ts.Check(err)
	s := siteOf(ts)
	for _, target := range args[1:] {
		text, err := os.ReadFile(s.journal(target))
		ts.Check(err)
		lines := strings.Fields(string(text))
		if len(lines) == 0 {
			ts.Fatalf("%s ran no request", target)
		}
		last, err := strconv.ParseInt(lines[len(lines)-1], 10, 64)
		ts.Check(err)
		late := time.UnixMilli(last).Sub(s.changedAt)
		ts.Logf("%s: last run started %s after the change", target, late)
		if late > bound {
			ts.Fatalf("%s started a run %s after the change, limit %s", target, late, bound)
		}
	}
}

// cmdFigure checks a number or duration in the last command's NAME=VALUE output:
// figure NAME OP VALUE, where OP is =, < or >.
func cmdFigure(ts *testscript.TestScript, _ bool, args []string) {
	match := regexp.MustCompile(`\b` + args[0] + `=(\S+)`).FindStringSubmatch(ts.ReadFile("stdout"))
	if match == nil {
		ts.Fatalf("no figure %s in the output", args[0])
	}
	got, want := parseNumber(ts, match[1]), parseNumber(ts, args[2])
	ts.Logf("%s=%s", args[0], match[1])
	if !map[string]bool{"=": got == want, "<": got < want, ">": got > want}[args[1]] {
		ts.Fatalf("%s is %s, want %s %s", args[0], match[1], args[1], args[2])
	}
}

// cmdPeak logs the peak and the current resident memory of a process: peak NAME.
func cmdPeak(ts *testscript.TestScript, _ bool, args []string) {
	pid := siteOf(ts).processes[args[0]].Process.Pid
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	ts.Check(err)
	ts.Logf("%s %s", args[0], regexp.MustCompile(`VmHWM:\s+\d+ kB`).FindString(string(text)))
	ts.Logf("%s %s", args[0], regexp.MustCompile(`VmRSS:\s+\d+ kB`).FindString(string(text)))
}

// parseNumber parses a number, or a duration as seconds.
func parseNumber(ts *testscript.TestScript, text string) float64 {
	if d, err := time.ParseDuration(text); err == nil {
		return d.Seconds()
	}
	n, err := strconv.ParseFloat(text, 64)
	ts.Check(err)
	return n
}

// awaitOutput runs a program until it succeeds and its output matches pattern, and
// fails the script once bound has passed.
func awaitOutput(ts *testscript.TestScript, bound time.Duration, pattern string, args ...string) {
	want := regexp.MustCompile(pattern)
	started := time.Now()
	deadline := started.Add(bound)
	for {
		output, err := runProgram(ts, args...)
		if err == nil && want.MatchString(output) {
			ts.Logf("output matched after %s", time.Since(started).Round(time.Millisecond))
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s: no match of %q within %s: %v\n%s", strings.Join(args, " "), pattern, bound, err, output)
		}
		time.Sleep(pollInterval)
	}
}

// runProgram runs one of the programs and returns its combined stdout and stderr.
func runProgram(ts *testscript.TestScript, args ...string) (string, error) {
	self, err := os.Executable()
	ts.Check(err)
	cmd := exec.Command(self)
	cmd.Args = args
	cmd.Dir = ts.Getenv("WORK")
	cmd.Env = append(os.Environ(), noRaceExitSleep)
	var output bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &output
	err = cmd.Run()
	return output.String(), err
}

// variableText lists the text that differs between runs, and its replacements.
var variableText = []struct{ pattern, replacement string }{
	{`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`, "<id>"},
	{`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`, "<time>"},
	{`"ticket":"[^"]+"`, `"ticket":"<ticket>"`},
	{`--ticket \S+`, "--ticket <ticket>"},
	{`"boot":"\w+"`, `"boot":"<boot>"`},
	{`"after":\d+`, `"after":<after>`},
	{`(?m)^\d+ +<time>`, "<n>         <time>"},
}

// normalize replaces text that differs between runs.
func normalize(ts *testscript.TestScript, text string) string {
	text = strings.ReplaceAll(text, ts.Getenv("IP"), "<ip>")
	text = strings.ReplaceAll(text, ts.Getenv("WORK"), "<work>")
	for _, v := range variableText {
		text = regexp.MustCompile(v.pattern).ReplaceAllString(text, v.replacement)
	}
	return text
}
