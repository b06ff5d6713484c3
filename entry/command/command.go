// Package command is the command line of an entry instance: it reads settings,
// puts the parts together and runs them until a signal.
package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/adapter/document"
	"hornbeamtray/adapter/journal"
	"hornbeamtray/adapter/launch"
	"hornbeamtray/adapter/metric"
	"hornbeamtray/adapter/platform"
	"hornbeamtray/adapter/probe"
	"hornbeamtray/adapter/socket"
	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/entry"
	"hornbeamtray/entry/agents"
	"hornbeamtray/entry/front"
	"hornbeamtray/entry/serve"
	"hornbeamtray/entry/watch"
)

// abortTime is how long callers whose requests are given up have to read so.
const abortTime = 5 * time.Second

// Main runs the program and returns its exit code.
func Main(arguments []string) int {
	return launch.Serve("entry", "take requests of callers and see each to a whole answer or a truthful refusal", document.ParseEntrySettings, run, arguments)
}

func run(ctx context.Context, settings document.EntrySettings) error {
	listener, err := socket.Listen(settings.Listen, "listen")
	if err != nil {
		return err
	}
	admin, err := socket.Listen(settings.Admin, "admin")
	if err != nil {
		return err
	}
	log := journal.New(settings.Name)
	metrics := metric.New("entry")
	defer metrics.Close()
	client := wire.NewClient(wire.WithCalls(settings.Calls), wire.WithLocal(settings.IP()))
	defer client.Close()
	silence := time.Duration(settings.Silence)
	reached := agents.New(settings.Name, settings.Domain, silence, client)
	state := entry.New(settings.Name, settings.Domain, entry.WithInFlight(settings.InFlight), entry.WithReportTimeout(silence), entry.WithTicketLifetime(time.Duration(settings.Life)))
	service := serve.New(state, reached, metrics, log, serve.WithSilence(silence), serve.WithPatience(time.Duration(settings.Patience)))
	defer service.Close()
	watchers := watch.New(reached, service)
	defer watchers.Close()
	relay := platform.NewRelay()
	follower := platform.Follow(settings.Sources(), service, platform.WithRelay(relay), platform.WithLocal(settings.IP()))
	defer follower.Close()
	instances := platform.FollowInstances(settings.Platform, settings.IP(), service)
	defer instances.Close()
	server := front.New(listener, service, metrics, front.WithBody(settings.Body), front.WithStall(time.Duration(settings.Stall)))
	defer server.Close()
	probes := probe.New(admin, source{service}, metrics.Handler(), probe.WithRelay(relay))
	defer probes.Close()
	log.Event("started", "listen", settings.Listen, "admin", settings.Admin, "domain", settings.Domain)
	<-ctx.Done()
	return leave(service, server, log, settings)
}

// leave reports not ready, goes on admitting while the balancer learns of it,
// and then waits for what is in flight. After the drain time, or at a second
// signal, it gives up what remains, with truthful refusals.
func leave(service *serve.Service, server *front.Server, log journal.Log, settings document.EntrySettings) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	service.Retire("asked to stop")
	clock.Pause(ctx, time.Duration(settings.Linger))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(settings.Drain))
	defer cancel()
	drained := service.Drain(ctx)
	if drained != nil {
		log.Fault(drained, "drain cut short")
		service.Abort()
	}
	ctx, cancel = context.WithTimeout(context.Background(), abortTime)
	defer cancel()
	if err := server.Drain(ctx); drained == nil {
		drained = err
	}
	if drained == nil {
		log.Event("stopped")
	}
	return drained
}
