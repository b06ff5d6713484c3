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
			&cli.StringFlag{Name: "body", Value: "{}", Usage: "each request's body; NUMBER in it stands for the request's number"},
			&cli.IntFlag{Name: "requests", Value: 100, Usage: "how many to send"},
			&cli.IntFlag{Name: "workers", Value: 10, Usage: "how many at once"},
			&cli.DurationFlag{Name: "pause", Usage: "wait before each read, to read slowly"},
			&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "how long to wait for one answer"},
			&cli.StringFlag{Name: "record", Usage: "`FILE` that gets a line for each request: its number and its outcome"},
			&cli.BoolFlag{Name: "ticket", Usage: "fetch a ticket first, and repeat while the outcome is not known"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() < 3 {
				return launch.UsageError("name SERVICE, CALL and at least one ENTRY-URL")
			}
			body, err := bodyOf(c)
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
					return trace.BadParameter("%v; name a file that can be written", err)
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
