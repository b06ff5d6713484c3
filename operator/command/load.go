package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"hornbeamtray/adapter/launch"
	"hornbeamtray/operator/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send many requests and count the outcomes: load SERVICE CALL ENTRY-URL...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "key", Usage: "the client account's `KEY`"},
			&cli.StringFlag{Name: "body", Value: "{}", Usage: "the body of each request, or @FILE; NUMBER in it is replaced by the request's number"},
			&cli.IntFlag{Name: "requests", Value: 100, Usage: "how many requests to send"},
			&cli.IntFlag{Name: "workers", Value: 10, Usage: "how many requests to send concurrently"},
			&cli.DurationFlag{Name: "pause", Usage: "the delay before each read of an answer, to read slowly"},
			&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "the time limit of each attempt"},
			&cli.StringFlag{Name: "record", Usage: "write a line with the number and outcome of each request to `FILE`"},
			&cli.BoolFlag{Name: "ticket", Usage: "fetch a ticket for each request, and retry while the outcome is not known"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() < 3 {
				return launch.UsageError("give SERVICE, CALL and at least one ENTRY-URL")
			}
			body, err := readBody(c)
			if err != nil {
				return err
			}
			plan := load.Plan{
				Entries: c.Args().Slice()[2:], Path: c.Args().Get(0) + "/" + c.Args().Get(1),
				Key: c.String("key"), Body: body, Requests: c.Int("requests"), Workers: c.Int("workers"),
				Pause: c.Duration("pause"), Timeout: c.Duration("timeout"), Ticket: c.Bool("ticket"),
			}
			if path := c.String("record"); path != "" {
				record, err := os.Create(path)
				if err != nil {
					return trace.BadParameter("%v; choose a writable file", err)
				}
				defer record.Close()
				plan.Record = record
			}
			result := load.Run(ctx, plan)
			_, err = fmt.Fprintln(c.Root().Writer, result)
			return err
		},
	}
}
