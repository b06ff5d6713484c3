package serve

import (
	"errors"
	"strings"
	"time"

	"hornbeamtray/core/refusal"
	"hornbeamtray/core/roster"
)

// logFailure logs and counts a failed attempt. how is its kind in the metrics.
func (d *delivery) logFailure(how string, err error, pairs ...any) {
	d.service.meter.Inc("attempts", how)
	pairs = append([]any{"request", d.request.ID, "target", d.target.ID, "how", how, "revision", roster.Number(d.target.Revision)}, pairs...)
	pairs = append(pairs, d.sendingPairs()...)
	if err != nil && !errors.Is(err, ErrNotSent) {
		pairs = append(pairs, "closed", d.closed, "head", d.headReceived, "events", d.events, "parts", strings.Join(d.request.Parts, ","), "own", d.request.OwnPart)
	}
	if err != nil {
		pairs = append(pairs, "error", err.Error())
	}
	d.service.journal.Event("attempt failed", pairs...)
}

// sendingPairs returns the log pairs that tell when and how the current attempt was sent.
func (d *delivery) sendingPairs() []any {
	return []any{
		"chosen", d.chosenAt.Sub(d.arrived), "sent", d.sentAfter, "written", d.writtenAfter, "ended", d.service.clock().Sub(d.arrived), "conn", d.sending.Connection,
		"earlier", d.sending.Earlier, "previous", d.sending.Previous, "bytes", d.sending.Bytes,
	}
}

// logOutcome logs and counts the outcome of the request. took is the time since its
// arrival.
func (d *delivery) logOutcome(o Outcome, took time.Duration) {
	kind, ran := "answered", refusal.Yes
	if o.Refusal != nil {
		kind, ran = string(o.Refusal.Kind), o.Refusal.Ran
	}
	d.service.meter.Inc("requests", kind)
	d.service.meter.Observe("request_time", took)
	pairs := []any{
		"request", d.request.ID, "route", d.admission.Route.Name, "account", d.admission.Account,
		"service", d.admission.Service, "target", d.target.ID, "attempts", len(d.triedTargets), "outcome", kind, "ran", ran,
		"begun", o.HeadSent, "status", d.status, "first", d.firstPartTime, "gap", d.longestGap, "took", took, "version", d.admission.Version,
	}
	if len(d.triedTargets) > 0 {
		pairs = append(pairs, d.sendingPairs()...)
	}
	if !d.admission.JudgedAt.IsZero() {
		pairs = append(pairs, "ahead", d.admission.Ahead, "wait", d.admission.Wait, "until", d.admission.WaitUntil.Sub(d.arrived), "judged", d.admission.JudgedAt.Sub(d.arrived))
	}
	if o.Refusal != nil {
		if o.Refusal.Retryable {
			pairs = append(pairs, "retry", o.Refusal.RetryAfter)
		}
		pairs = append(pairs, "remedy", o.Refusal.Remedy)
	}
	if len(d.request.Parts) > 0 || d.request.OwnPart != "" {
		pairs = append(pairs, "parts", strings.Join(d.request.Parts, ","), "own", d.request.OwnPart)
	}
	d.service.journal.Event("request", pairs...)
	if d.longestGap > 0 {
		d.service.meter.Observe("longest_gap", d.longestGap)
	}
}
