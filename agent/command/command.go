// Package command is the command line of a target's agent. It reads the settings,
// starts the agent's components and runs them until a signal.
package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/adapter/document"
	"hornbeamtray/adapter/ingress"
	"hornbeamtray/adapter/journal"
	"hornbeamtray/adapter/launch"
	"hornbeamtray/adapter/metric"
	"hornbeamtray/adapter/platform"
	probes "hornbeamtray/adapter/probe"
	"hornbeamtray/adapter/socket"
	"hornbeamtray/adapter/wire"
	"hornbeamtray/agent/engine"
	"hornbeamtray/agent/front"
	"hornbeamtray/agent/order"
	"hornbeamtray/agent/serve"
	"hornbeamtray/core/target"
)

// Main runs the program and returns its exit code.
func Main(arguments []string) int {
	return launch.Serve("agent", "serve one target: run its requests at most once and within its limit", document.ParseAgentSettings, run, arguments)
}

func run(ctx context.Context, settings document.AgentSettings) error {
	listener, err := socket.Listen(settings.Listen, "listen")
	if err != nil {
		return err
	}
	admin, err := socket.Listen(settings.Admin, "admin")
	if err != nil {
		return err
	}
	log := journal.New(settings.Name)
	metrics := metric.New("agent")
	defer metrics.Close()
	state := target.New(settings.Name, uuid.NewString(),
		target.WithAnswerBytes(settings.MaxAnswerBytes), target.WithHeldBytes(settings.MaxHeldBytes))
	client := engine.New(settings.Target)
	service := serve.New(state, client, metrics, log, serve.WithBlockTimeout(time.Duration(settings.BlockTimeout)))
	defer service.Close()
	orders := order.New(service, client, log)
	defer orders.Close()
	probe := engine.NewProbe(settings.Target, service)
	defer probe.Close()
	follower := platform.Follow(settings.Sources(), service, platform.WithTarget(settings.Name))
	defer follower.Close()
	server, err := wire.NewServer(listener, front.New(service))
	if err != nil {
		return err
	}
	defer server.Close()
	guard := ingress.New(ingress.WithMeter(metrics), ingress.WithJournal(log))
	defer guard.Close()
	adminServer := probes.New(admin, source{service}, metrics.Handler(), probes.WithGuard(guard))
	defer adminServer.Close()
	log.Event("started", "listen", settings.Listen, "admin", settings.Admin, "incarnation", state.Incarnation)
	<-ctx.Done()
	return shutDown(service, log, settings)
}

// shutDown stops taking new work, waits for the linger time so that the report of
// this reaches the entry instances, and drains the requests in flight. A second
// signal ends either wait.
func shutDown(service *serve.Service, log journal.Log, settings document.AgentSettings) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	service.Leave("asked to stop")
	clock.Pause(ctx, time.Duration(settings.Linger))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(settings.DrainTimeout))
	defer cancel()
	if err := service.Drain(ctx); err != nil {
		log.Error(err, "drain cut short")
		return err
	}
	log.Event("stopped")
	return nil
}
