// Package command implements the command line of standin, which simulates the
// platform, targets and networks in tests and demonstrations.
package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/launch"
	"hornbeamtray/standin/engine"
	"hornbeamtray/standin/platform"
	"hornbeamtray/standin/relay"
)

const httpTimeout = 10 * time.Second

// Main runs standin with arguments, including the program name, and returns its exit code.
func Main(arguments []string) int {
	listen := &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on", Required: true}
	target := []cli.Flag{
		listen,
		&cli.IntFlag{Name: "most", Usage: "concurrent requests that the target can run when warm; 0 means no limit"},
		&cli.IntFlag{Name: "cold", Usage: "concurrent requests that the target can run right after its start; 0 means that it is always warm"},
		&cli.DurationFlag{Name: "warm", Usage: "ramp-up time from cold to warm"},
		&cli.BoolFlag{Name: "fencing", Usage: "refuse orders with old fencing numbers"},
		&cli.StringFlag{Name: "journal", Usage: "append a line for each run to `FILE`"},
	}
	return launch.RunServer(&cli.Command{
		Name:  "standin",
		Usage: "simulate the platform, targets and networks in tests and demonstrations",
		Commands: []*cli.Command{
			{Name: "platform", Usage: "serve configurations and lists of instances", Flags: []cli.Flag{listen}, Action: servePlatform},
			{Name: "model", Usage: "stream tokens", Flags: target, Action: serveTarget},
			{Name: "plain", Usage: "answer plain calls", Flags: target, Action: serveTarget},
			{Name: "relay", Usage: "forward connections, and block them by source IP", Flags: []cli.Flag{
				listen, &cli.StringFlag{Name: "to", Required: true, Usage: "`ADDRESS` to forward connections to"},
				&cli.StringFlag{Name: "admin", Required: true, Usage: "`ADDRESS` that serves the commands cut and heal"},
			}, Action: serveRelay},
			{Name: "cut", Usage: "make a relay block a source IP, or all: cut URL SOURCE|all", Action: cut},
			{Name: "heal", Usage: "make a relay forward connections of all sources again: heal URL", Action: heal},
			{Name: "cold", Usage: "reset a target to cold: cold URL", Action: turnCold},
			{Name: "instances", Usage: "publish a list of instances after a delay: instances URL FILE LAG", Action: publishInstances},
			{Name: "publish", Usage: "publish a configuration: publish URL FILE", Flags: []cli.Flag{
				&cli.StringFlag{Name: "expect", Usage: "publish only if the current version is `VERSION`"},
			}, Action: publish},
			{Name: "get", Usage: "print the response of a URL: get URL", Action: get},
			{Name: "fault", Usage: "set the fault that the platform simulates: fault URL down|stale|none", Action: fault},
		},
	}, arguments)
}

func servePlatform(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c.String("listen"), platform.New().Handler())
}

func serveTarget(ctx context.Context, c *cli.Command) error {
	options := []engine.Option{engine.WithCapacity(engine.Capacity{Limit: c.Int("most"), ColdLimit: c.Int("cold"), RampUp: c.Duration("warm")})}
	if c.Bool("fencing") {
		options = append(options, engine.WithFencing())
	}
	if path := c.String("journal"); path != "" {
		journal, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return trace.BadParameter("%v; choose a writable file", err)
		}
		defer journal.Close()
		options = append(options, engine.WithJournal(journal))
	}
	return serve(ctx, c.String("listen"), engine.New(c.Name, options...).Handler())
}

func serveRelay(ctx context.Context, c *cli.Command) error {
	r, err := relay.New(c.String("listen"), c.String("to"))
	if err != nil {
		return err
	}
	defer r.Close()
	return serve(ctx, c.String("admin"), r.Handler())
}

// server is an HTTP server whose goroutine belongs to tomb.
type server struct {
	tomb tomb.Tomb
	http *http.Server
}

func (s *server) run() error {
	if err := s.http.ListenAndServe(); err != nil && s.tomb.Alive() {
		return trace.Wrap(err)
	}
	return nil
}

// serve serves HTTP on address until ctx is done or listening fails.
func serve(ctx context.Context, address string, handler http.Handler) error {
	s := &server{http: &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: httpTimeout}}
	s.tomb.Go(s.run)
	<-s.tomb.Context(ctx).Done()
	s.tomb.Kill(nil)
	_ = s.http.Close()
	return s.tomb.Wait()
}

func publish(ctx context.Context, c *cli.Command) error {
	text, err := os.ReadFile(c.Args().Get(1))
	if err != nil {
		return trace.NotFound("%v; check the path of the configuration", err)
	}
	return send(ctx, c, http.MethodPut, c.Args().First()+"/v1/configuration", text)
}

func get(ctx context.Context, c *cli.Command) error {
	return send(ctx, c, http.MethodGet, c.Args().First(), nil)
}

func publishInstances(ctx context.Context, c *cli.Command) error {
	text, err := os.ReadFile(c.Args().Get(1))
	if err != nil {
		return trace.NotFound("%v; check the path of the list", err)
	}
	return send(ctx, c, http.MethodPut, c.Args().First()+"/v1/instances?lag="+c.Args().Get(2), text)
}

func cut(ctx context.Context, c *cli.Command) error {
	return send(ctx, c, http.MethodPut, c.Args().First()+"/cut/"+c.Args().Get(1), nil)
}

func heal(ctx context.Context, c *cli.Command) error {
	return send(ctx, c, http.MethodPut, c.Args().First()+"/heal", nil)
}

func turnCold(ctx context.Context, c *cli.Command) error {
	return send(ctx, c, http.MethodPut, c.Args().First()+"/cold", nil)
}

func fault(ctx context.Context, c *cli.Command) error {
	return send(ctx, c, http.MethodPut, c.Args().First()+"/fault/"+c.Args().Get(1), nil)
}

func send(ctx context.Context, c *cli.Command, method, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return trace.BadParameter("%v; check the URL", err)
	}
	request.Header.Set("If-Match", c.String("expect")) // empty, and so ignored, without --expect
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "%v; check that the server runs", err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("the server answered %s: %s", response.Status, text)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s", text)
	return err
}
