// Package load sends concurrent requests and counts their outcomes, for
// experiments and to try out a deployment.
//
// Outcomes are those that a caller can observe: a whole answer, a refusal, an
// answer that was cut short, or no answer.
package load

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hornbeamtray/operator/caller"
)

const (
	maxLatency        = time.Hour
	significantDigits = 3
	maxAttempts       = 5
	retryDelay        = 200 * time.Millisecond
	ticketsPath       = "/v1/tickets/"
	servicesPath      = "/v1/services/"
	numberPlaceholder = "NUMBER" // replaced in Plan.Body by the request's number
)

// Plan configures a load run.
type Plan struct {
	Entries  []string // Entries are the URLs of entry instances, used round-robin.
	Path     string   // Path is SERVICE/CALL.
	Key      string
	Body     string // Body is the body of each request; NUMBER in it is replaced by the request's number.
	Requests int
	Workers  int           // Workers is the number of concurrent requests.
	Pause    time.Duration // Pause is the delay before each read of an answer.
	Timeout  time.Duration // Timeout bounds each attempt.
	Record   io.Writer     // Record receives a line with the number and outcome of each request; it may be nil.
	Ticket   bool          // Ticket fetches a ticket for each request and retries while the outcome is unknown.
}

// Result counts the requests by outcome. The histograms are in microseconds and
// cover whole answers only.
type Result struct {
	Whole           int
	RefusedNotRun   int // refused before it ran
	RefusedRan      int // refused after it started to run
	RefusedUnknown  int // refused; whether it ran is unknown
	Cut             int // the answer was cut short
	NoAnswer        int // no answer arrived
	TimeToFirstByte *hdrhistogram.Histogram
	Total           *hdrhistogram.Histogram
}

// String returns the counts and the latency quantiles as one line of key=value pairs.
func (r Result) String() string {
	return fmt.Sprintf("whole=%d no=%d yes=%d unknown=%d cut=%d silent=%d first_p50=%s first_p99=%s total_p50=%s total_p99=%s",
		r.Whole, r.RefusedNotRun, r.RefusedRan, r.RefusedUnknown, r.Cut, r.NoAnswer,
		quantile(r.TimeToFirstByte, 50), quantile(r.TimeToFirstByte, 99), quantile(r.Total, 50), quantile(r.Total, 99))
}

// Runner executes a Plan.
type Runner struct {
	plan   Plan
	next   atomic.Int64
	group  sync.WaitGroup
	mu     sync.Mutex
	result Result // guarded by mu
}

// Run sends the requests of plan and returns when all have ended. It stops early
// when ctx is done.
func Run(ctx context.Context, plan Plan) Result {
	r := &Runner{plan: plan, result: Result{TimeToFirstByte: newHistogram(), Total: newHistogram()}}
	for range plan.Workers {
		r.group.Add(1)
		go r.run(ctx)
	}
	r.group.Wait()
	return r.result
}

func (r *Runner) run(ctx context.Context) {
	defer r.group.Done()
	for ctx.Err() == nil {
		n := int(r.next.Add(1)) - 1
		if n >= r.plan.Requests {
			return
		}
		r.count(n, r.sendOne(ctx, n))
	}
}

// outcome is the answer to a request and the error of caller.Send, if any.
type outcome struct {
	caller.Answer
	err error
}

// sendOne sends request n and returns its outcome. If Plan.Ticket is set, it fetches
// a ticket and sends the request with it up to maxAttempts times, until a whole
// answer arrives whose Ran is not "unknown". If no ticket can be fetched, it returns
// the outcome of the ticket request.
func (r *Runner) sendOne(ctx context.Context, n int) outcome {
	if !r.plan.Ticket {
		return r.send(ctx, n, n, servicesPath, "")
	}
	fetched := r.send(ctx, n, n, ticketsPath, "")
	if fetched.err != nil || !fetched.Accepted() {
		return fetched
	}
	_, after, _ := strings.Cut(fetched.Body, `"ticket":"`)
	ticket, _, _ := strings.Cut(after, `"`)
	var last outcome
	for i := range maxAttempts {
		last = r.send(ctx, n, n+i, servicesPath, ticket)
		if last.err == nil && last.Answer.Whole && last.Ran() != "unknown" {
			break
		}
		time.Sleep(retryDelay)
	}
	return last
}

// send makes one attempt. number is the request's number; entry, modulo the number of
// entry instances, selects the instance.
func (r *Runner) send(ctx context.Context, number, entry int, collection, ticket string) outcome {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout)
	defer cancel()
	answer, err := caller.Send(ctx, caller.Request{
		URL: r.plan.Entries[entry%len(r.plan.Entries)] + collection + r.plan.Path,
		Key: r.plan.Key, Body: strings.ReplaceAll(r.plan.Body, numberPlaceholder, strconv.Itoa(number)), Ticket: ticket, Pause: r.plan.Pause,
	})
	return outcome{Answer: answer, err: err}
}

func (r *Runner) count(n int, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, counter := r.classify(o)
	*counter++
	if name == "whole" {
		_ = r.result.TimeToFirstByte.RecordValue(o.TimeToFirstByte.Microseconds())
		_ = r.result.Total.RecordValue(o.Total.Microseconds())
	}
	if r.plan.Record != nil {
		fmt.Fprintf(r.plan.Record, "%d\t%s\n", n, name)
	}
}

// classify returns the name and the counter of an outcome. The caller holds r.mu.
func (r *Runner) classify(o outcome) (string, *int) {
	switch {
	case o.err != nil && o.Status == 0:
		return "silent", &r.result.NoAnswer
	case o.err != nil || !o.Answer.Whole:
		return "cut", &r.result.Cut
	case o.Accepted():
		return "whole", &r.result.Whole
	case o.Ran() == "no":
		return "no", &r.result.RefusedNotRun
	case o.Ran() == "yes":
		return "yes", &r.result.RefusedRan
	default:
		return "unknown", &r.result.RefusedUnknown
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
