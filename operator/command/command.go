// Package command implements the command line of tray: it checks and prints
// configurations, shows the state of instances, and sends test requests.
package command

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"hornbeamtray/adapter/document"
	"hornbeamtray/adapter/launch"
	"hornbeamtray/adapter/probe"
	"hornbeamtray/operator/caller"
)

const (
	readTimeout      = 10 * time.Second
	maxResponseBytes = 16 << 20
)

// Main runs tray with arguments, including the program name, and returns its exit code.
func Main(arguments []string) int {
	kind := &cli.StringFlag{Name: "as", Value: "configuration", Usage: "what the file is: configuration, entry, agent, gateway or steward"}
	subject := &cli.StringFlag{Name: "subject", Usage: "print only changes whose subject starts with `TEXT`"}
	return launch.Run(&cli.Command{
		Name:  "tray",
		Usage: "check and print configurations, show the state of instances and send test requests",
		Commands: []*cli.Command{
			{Name: "check", Usage: "find every fault of a file: check [--as KIND] FILE", Flags: []cli.Flag{kind}, Action: check},
			{Name: "print", Usage: "print a configuration as the platform would publish it: print FILE", Action: printConfiguration},
			{Name: "show", Usage: "print the current state of an instance: show ADMIN-URL", Action: show},
			{Name: "trail", Usage: "print an instance's audit trail: trail ADMIN-URL", Flags: []cli.Flag{subject}, Action: showTrail},
			{Name: "digest", Usage: "print the digest of a client account's key: digest KEY", Action: digest},
			callCommand(),
			loadCommand(),
			ticketCommand(),
		},
	}, arguments)
}

func check(_ context.Context, c *cli.Command) error {
	path, err := argument(c, 0, "FILE")
	if err != nil {
		return err
	}
	switch c.String("as") {
	case "configuration":
		_, err = document.Load(path, document.ParseConfiguration)
	case "entry":
		_, err = document.Load(path, document.ParseEntrySettings)
	case "agent":
		_, err = document.Load(path, document.ParseAgentSettings)
	case "gateway":
		_, err = document.Load(path, document.ParseGatewaySettings)
	case "steward":
		_, err = document.Load(path, document.ParseStewardSettings)
	default:
		return launch.UsageError("--as %q does not exist; use configuration, entry, agent, gateway or steward", c.String("as"))
	}
	var faults document.Faults
	if errors.As(err, &faults) {
		for _, fault := range faults {
			fmt.Fprintf(c.Root().Writer, "%s: %s\n", path, fault)
		}
		return trace.BadParameter("%d faults in %s", len(faults), path)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: no faults\n", path)
	return err
}

func printConfiguration(_ context.Context, c *cli.Command) error {
	path, err := argument(c, 0, "FILE")
	if err != nil {
		return err
	}
	configuration, err := document.Load(path, document.ParseConfiguration)
	if err != nil {
		return err
	}
	text, err := document.PrintConfiguration(configuration)
	if err != nil {
		return err
	}
	_, err = c.Root().Writer.Write(text)
	return err
}

func show(ctx context.Context, c *cli.Command) error {
	text, err := fetch(ctx, c, "/show")
	if err != nil {
		return err
	}
	_, err = c.Root().Writer.Write(text)
	return err
}

func showTrail(ctx context.Context, c *cli.Command) error {
	text, err := fetch(ctx, c, "/trail")
	if err != nil {
		return err
	}
	var changes []probe.Change
	if err := json.Unmarshal(text, &changes); err != nil {
		return trace.BadParameter("the instance's response is not an audit trail; check the address")
	}
	table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SEQUENCE\tTIME\tSUBJECT\tBEFORE\tAFTER\tCAUSE")
	for _, change := range changes {
		if !strings.HasPrefix(change.Subject, c.String("subject")) {
			continue
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", change.Sequence, change.Time.UTC().Format(time.RFC3339), change.Subject,
			orDash(change.Before), orDash(change.After), change.Cause)
	}
	return table.Flush()
}

func digest(_ context.Context, c *cli.Command) error {
	key, err := argument(c, 0, "KEY")
	if err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(key))
	_, err = fmt.Fprintln(c.Root().Writer, hex.EncodeToString(sum[:]))
	return err
}

func callerFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "key", Usage: "the client account's `KEY`"},
		&cli.StringFlag{Name: "ticket", Usage: "a `TICKET` fetched earlier; repeats its request"},
		&cli.StringFlag{Name: "body", Value: "{}", Usage: "the request's body, or @FILE"},
		&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "how long to wait for the answer"},
	}
}

func callCommand() *cli.Command {
	return &cli.Command{
		Name: "call", Usage: "send one request: call ENTRY-URL SERVICE CALL", Flags: callerFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return request(ctx, c, "services")
		},
	}
}

func ticketCommand() *cli.Command {
	return &cli.Command{
		Name: "ticket", Usage: "fetch a ticket for a request: ticket ENTRY-URL SERVICE CALL", Flags: callerFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return request(ctx, c, "tickets")
		},
	}
}

// request sends one request and prints the answer with its status and request ID.
// It returns an error if the request is refused or the answer is cut short.
func request(ctx context.Context, c *cli.Command, collection string) error {
	if c.Args().Len() != 3 {
		return launch.UsageError("give exactly ENTRY-URL, SERVICE and CALL")
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	answer, err := caller.Send(ctx, caller.Request{
		URL: strings.Join([]string{c.Args().Get(0), "v1", collection, c.Args().Get(1), c.Args().Get(2)}, "/"),
		Key: c.String("key"), Ticket: c.String("ticket"), Body: body,
	})
	if answer.Status > 0 {
		fmt.Fprintf(c.Root().Writer, "status=%d request=%s whole=%t\n%s\n", answer.Status, answer.RequestID, answer.Whole, strings.TrimSuffix(answer.Body, "\n"))
	}
	if err != nil {
		return err
	}
	if !answer.Accepted() {
		return trace.BadParameter("the request was refused; the answer says why")
	}
	return nil
}

// readBody returns the value of --body, or the content of FILE if the value is @FILE.
func readBody(c *cli.Command) (string, error) {
	value, isFile := strings.CutPrefix(c.String("body"), "@")
	if !isFile {
		return value, nil
	}
	text, err := os.ReadFile(value)
	if err != nil {
		return "", trace.NotFound("%v; check the path of the request's body", err)
	}
	return string(text), nil
}

func fetch(ctx context.Context, c *cli.Command, path string) ([]byte, error) {
	base, err := argument(c, 0, "ADMIN-URL")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+path, nil)
	if err != nil {
		return nil, trace.BadParameter("%q is not a URL; write it as http://10.0.0.1:7401", base)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s can't be reached; check that the instance runs and that this is its admin address", base)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("%s answered %s; check that this is an admin address", base, response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
}

func argument(c *cli.Command, n int, name string) (string, error) {
	if c.Args().Len() <= n {
		return "", launch.UsageError("%s is missing; see: tray %s --help", name, c.Name)
	}
	return c.Args().Get(n), nil
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
