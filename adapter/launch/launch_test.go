package launch

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	serverVariable = "LAUNCH_TEST_SERVING" // set in the process that runs the server
	shutdownTime   = 300 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(serverVariable) == "" {
		os.Exit(m.Run())
	}
	os.Exit(RunServer(&cli.Command{Name: "program", Action: func(ctx context.Context, _ *cli.Command) error {
		fmt.Println("started")
		<-ctx.Done()
		fmt.Println("leaving")
		time.Sleep(shutdownTime)
		return nil
	}}, []string{"program"}))
}

// TestSignalsWhileServing sends signals to a server while it runs and while it
// shuts down after the first SIGTERM or SIGINT. No signal may kill it: it must
// finish its shutdown and exit with code 0.
func TestSignalsWhileServing(t *testing.T) {
	cases := []struct {
		name    string
		serving []syscall.Signal // sent while it runs
		leaving []syscall.Signal // sent while it shuts down
	}{
		{"asked once", []syscall.Signal{syscall.SIGTERM}, nil},
		{"interrupted", []syscall.Signal{syscall.SIGINT}, nil},
		{"asked again while it leaves", []syscall.Signal{syscall.SIGTERM}, []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}},
		{"asked to reload first", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}, nil},
		{"asked to reload while it leaves", []syscall.Signal{syscall.SIGTERM}, []syscall.Signal{syscall.SIGHUP}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			command := exec.Command(os.Args[0])
			command.Env = append(os.Environ(), serverVariable+"=yes", "GORACE=atexit_sleep_ms=0")
			output, err := command.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := command.Start(); err != nil {
				t.Fatal(err)
			}
			lines := bufio.NewScanner(output)
			for _, step := range []struct {
				line    string
				signals []syscall.Signal
			}{{"started", c.serving}, {"leaving", c.leaving}} {
				if !lines.Scan() || lines.Text() != step.line {
					t.Fatalf("the server printed %q, want %q", lines.Text(), step.line)
				}
				for _, s := range step.signals {
					if err := command.Process.Signal(s); err != nil {
						t.Fatal(err)
					}
				}
			}
			if err := command.Wait(); err != nil {
				t.Errorf("the server exited with %v, want exit code 0", err)
			}
		})
	}
}
