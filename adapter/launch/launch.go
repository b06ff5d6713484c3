// Package launch implements the startup and exit of all programs: it parses the
// command line, handles signals, prints errors and chooses the exit code.
package launch

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"hornbeamtray/adapter/document"
	"hornbeamtray/adapter/journal"
)

// Version is the product version that all programs print.
const Version = "0.1.0"

const settingsFlag = "settings"

// Exit codes of all programs.
const (
	Success = 0 // Success: the command succeeded.
	Failure = 1 // Failure: the command failed or found faults.
	Misuse  = 2 // Misuse: the command line is invalid.
)

// Run runs command with the arguments and returns the exit code.
func Run(command *cli.Command, arguments []string) int {
	return run(context.Background(), command, arguments)
}

// RunServer is Run for a program that serves until SIGINT or SIGTERM cancels the
// context of its command. Further such signals don't kill the process during
// shutdown, and neither does SIGHUP at any time.
func RunServer(command *cli.Command, arguments []string) int {
	signal.Ignore(syscall.SIGHUP) // a command that reloads its settings on SIGHUP subscribes to it itself
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, command, arguments)
}

// Serve runs a program that loads its settings and serves until SIGINT or SIGTERM
// cancels the context. It returns the exit code.
func Serve[T any](name, usage string, parse func([]byte) (T, error), serve func(context.Context, T) error, arguments []string) int {
	return RunServer(ServerCommand(name, usage, parse, func(ctx context.Context, _ string, settings T) error {
		return serve(ctx, settings)
	}), arguments)
}

// ServerCommand returns a command that loads settings and passes them to serve with
// the path of their file. The path comes from the option --settings or, if that
// is absent, from the first of the given environment variables that is set.
func ServerCommand[T any](name, usage string, parse func([]byte) (T, error), serve func(context.Context, string, T) error, variables ...string) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: settingsFlag, Usage: "`FILE` with settings in JSON with comments", Sources: cli.EnvVars(variables...),
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String(settingsFlag)
			if path == "" {
				return UsageError("--%s is missing; name the file with the settings", settingsFlag)
			}
			settings, err := document.Load(path, parse)
			if err != nil {
				return err
			}
			lines := journal.Redirect(os.Stdout)
			defer lines.Close()
			limitMemory(memoryInfoPath, journal.New(name))
			return serve(ctx, path, settings)
		},
	}
}

func run(ctx context.Context, command *cli.Command, arguments []string) int {
	command.Version = Version
	command.Writer, command.ErrWriter = os.Stdout, os.Stderr
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{err}
	}
	if command.Action == nil {
		command.Action = rootAction
	}
	command.Commands = append(command.Commands, versionCommand(command.Name))
	initLogs()
	err := command.Run(ctx, arguments)
	if err == nil {
		return Success
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", command.Name, trace.UserMessage(err))
	var usage *usageError
	if errors.As(err, &usage) {
		return Misuse
	}
	return Failure
}

// usageError is an error in the command line.
type usageError struct{ error }

// UsageError returns the error of an invalid command line; Run then returns Misuse.
func UsageError(format string, arguments ...any) error {
	return &usageError{trace.BadParameter(format, arguments...)}
}

// Unwrap returns the underlying error.
func (m *usageError) Unwrap() error { return m.error }

// rootAction rejects an unknown command and prints the help if no command is given.
func rootAction(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return UsageError("command %q does not exist; see: %s --help", c.Args().First(), c.Name)
	}
	return cli.ShowRootCommandHelp(c)
}

func versionCommand(program string) *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintf(c.Root().Writer, "%s %s\n", program, Version)
			return err
		},
	}
}

func initLogs() {
	flags := flag.NewFlagSet("logs", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "true")
}
