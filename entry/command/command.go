// Package command implements the command line of an entry instance: it reads the
// settings, starts the parts of the instance and shuts them down on a signal.
package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/adapter/document"
	"hornbeamtray/adapter/ingress"
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

// abortTimeout bounds the time to write the last responses, such as the refusals of
// aborted requests, before the server closes their connections.
const abortTimeout = 5 * time.Second

// Main runs the program with the given command line and returns its exit code.
func Main(arguments []string) int {
	return launch.Serve("entry", "serve requests of callers: return a complete answer or a truthful refusal to each", document.ParseEntrySettings, run, arguments)
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
	wireClient := wire.NewClient(wire.WithMaxCalls(settings.MaxCalls), wire.WithLocal(settings.IP()))
	defer wireClient.Close()
	agentTimeout := time.Duration(settings.AgentTimeout)
	agentClient := agents.New(settings.Name, settings.Domain, agentTimeout, wireClient)
	state := entry.New(settings.Name, settings.Domain, entry.WithInFlight(settings.MaxInFlight), entry.WithReportTimeout(agentTimeout), entry.WithTicketLifetime(time.Duration(settings.TicketLifetime)))
	service := serve.New(state, agentClient, metrics, log, serve.WithAgentTimeout(agentTimeout), serve.WithMaxTargetWait(time.Duration(settings.MaxTargetWait)))
	defer service.Close()
	watchers := watch.New(agentClient, service)
	defer watchers.Close()
	relay := platform.NewRelay()
	follower := platform.Follow(settings.Sources(), service, platform.WithRelay(relay), platform.WithLocal(settings.IP()))
	defer follower.Close()
	instances := platform.FollowInstances(settings.Platform, settings.IP(), service)
	defer instances.Close()
	guard := ingress.New(ingress.WithMemory(settings.Memory), ingress.WithConnections(settings.MaxConnections), ingress.WithMeter(metrics), ingress.WithJournal(log))
	defer guard.Close()
	server := front.New(listener, service, metrics, front.WithGuard(guard), front.WithMaxBodyBytes(settings.MaxBodyBytes), front.WithStallTimeout(time.Duration(settings.StallTimeout)))
	defer server.Close()
	adminServer := probe.New(admin, source{service}, metrics.Handler(), probe.WithGuard(guard), probe.WithRelay(relay))
	defer adminServer.Close()
	log.Event("started", "listen", settings.Listen, "admin", settings.Admin, "domain", settings.Domain)
	<-ctx.Done()
	return shutDown(service, server, log, settings)
}

// shutDown reports that the instance is not ready, and still admits requests for the
// linger time, in which the load balancer notices. Then it stops admitting and waits
// for the requests in flight. After the drain time, or at a second signal, it aborts
// the remaining requests and refuses them truthfully.
func shutDown(service *serve.Service, server *front.Server, log journal.Log, settings document.EntrySettings) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	service.Retire("asked to stop")
	clock.Pause(ctx, time.Duration(settings.Linger))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(settings.DrainTimeout))
	defer cancel()
	drainErr := service.Drain(ctx)
	if drainErr != nil {
		log.Error(drainErr, "drain cut short")
		service.AbortRequests()
	}
	ctx, cancel = context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	if err := server.Drain(ctx); drainErr == nil {
		drainErr = err
	}
	if drainErr == nil {
		log.Event("stopped")
	}
	return drainErr
}
