// Package metric records a process's counters, gauges and duration histograms,
// and serves them in the Prometheus text format.
//
// Callers choose the metric names; the package adds the program's name as a prefix.
package metric

import (
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Set holds the metrics of one process.
type Set struct {
	scope    tally.Scope
	reporter tallyprom.Reporter
	closer   io.Closer
	buckets  tally.Buckets
}

// New returns an empty set whose metric names are prefixed with the program's name.
func New(program string) *Set {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 program,
		CachedReporter:         reporter,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
		Separator:              tallyprom.DefaultSeparator,
	}, reportInterval)
	return &Set{
		scope: scope, reporter: reporter, closer: closer,
		buckets: tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17),
	}
}

// Inc adds 1 to the counter with the given name and label kind.
func (s *Set) Inc(name, kind string) {
	s.scope.Tagged(map[string]string{"kind": kind}).Counter(name).Inc(1)
}

// Gauge sets the gauge with the given name.
func (s *Set) Gauge(name string, value float64) {
	s.scope.Gauge(name).Update(value)
}

// Observe adds a duration to the histogram with the given name.
func (s *Set) Observe(name string, d time.Duration) {
	s.scope.Histogram(name, s.buckets).RecordDuration(d)
}

// Handler returns the handler that serves the metrics.
func (s *Set) Handler() http.Handler {
	return s.reporter.HTTPHandler()
}

// Close reports the latest values a last time and stops periodic reporting.
func (s *Set) Close() error {
	return trace.Wrap(s.closer.Close())
}
