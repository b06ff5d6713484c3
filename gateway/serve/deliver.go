package serve

import (
	"errors"
	"io"
	"time"

	"hornbeamtray/core/events"
	"hornbeamtray/core/quarantine"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/retry"
)

const (
	maxBufferedBytes = 64 << 10               // an answer that is not an event stream is buffered until it is complete or has this size
	readBytes        = 16 << 10               // size of the read buffer
	nextEventReserve = 300 * time.Millisecond // the same for later events, so that another target can resume the stream
)

// errOversizedEvent ends a stream whose target sends an event without end.
var errOversizedEvent = errors.New("an event of the stream exceeds the size limit")

// deliverBuffered delivers an answer that is not an event stream. It writes nothing
// until the answer is complete or has maxBufferedBytes, so that after a broken
// connection another target can still answer.
func (d *delivery) deliverBuffered(reply Reply) (retry.Attempt, bool) {
	head := reply.Head()
	buffered := make([]byte, 0, min(maxBufferedBytes, max(512, head.Length+1)))
	var err error
	for err == nil && len(buffered) < maxBufferedBytes {
		var n int
		if len(buffered) == cap(buffered) {
			buffered = append(buffered, 0)[:len(buffered)]
		}
		n, err = reply.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		d.bodyReceived = d.bodyReceived || n > 0
	}
	switch {
	case err == io.EOF && head.Status >= 500:
		d.failure = &failure{head: withLength(head, len(buffered)), body: buffered}
		return d.failedAttempt(head), false
	case err == io.EOF:
		d.failure = nil
		d.service.recordProof(d.admission.Parts)
		d.recordPart()
		if d.begin(withLength(head, len(buffered))) != nil || d.out.Write(buffered) != nil {
			return d.newAttempt(retry.Abandoned), false
		}
		return retry.Attempt{}, true
	case err != nil:
		return d.brokenAttempt("broken", err), false
	}
	return d.deliverUnbuffered(reply, buffered)
}

// failedAttempt returns the current attempt, at which the target answered with an error.
func (d *delivery) failedAttempt(head Head) retry.Attempt {
	d.logFailure("target failed", nil, "status", head.Status)
	attempt := d.newAttempt(retry.Stopped)
	attempt.Refusal = refusal.New(refusal.Failed, refusal.Yes, "the target failed while it ran the request")
	return attempt
}

// deliverUnbuffered delivers an answer that is too large to be buffered. It writes the
// buffered bytes, then the rest as it arrives.
func (d *delivery) deliverUnbuffered(reply Reply, buffered []byte) (retry.Attempt, bool) {
	if d.begin(reply.Head()) != nil || d.out.Write(buffered) != nil {
		return d.newAttempt(retry.Abandoned), false
	}
	d.headSent = true
	d.service.recordProof(d.admission.Parts)
	buffer := make([]byte, readBytes)
	for {
		n, err := reply.Read(buffer)
		if n > 0 && d.out.Write(buffer[:n]) != nil {
			return d.newAttempt(retry.Abandoned), false
		}
		if err == io.EOF {
			return retry.Attempt{}, true
		}
		if err != nil {
			return d.brokenAttempt("broken", err), false
		}
	}
}

// deliverStream delivers the events of a stream, each as soon as it is complete. A
// target that sends bytes but completes no event within the event timeout has stalled.
func (d *delivery) deliverStream(reply Reply, wd *watchdog) (retry.Attempt, bool) {
	var splitter events.Splitter
	buffer := make([]byte, readBytes)
	eventDue := d.service.clock().Add(d.eventTimeout())
	for {
		wd.start(max(0, eventDue.Sub(d.service.clock())))
		n, err := reply.Read(buffer)
		wd.stop()
		if n > 0 {
			d.service.recordResponse(d.target.ID)
		}
		if complete := splitter.Split(buffer[:n]); len(complete) > 0 {
			if d.events == 0 {
				d.service.recordFirstPart(d.admission.Service, d.sinceSend())
			}
			d.events = splitter.Events()
			if d.progress() == quarantine.UnderWay {
				d.service.recordProof(d.admission.Parts)
			}
			if !d.deliverEvents(reply.Head(), complete, splitter.LastID()) {
				return d.newAttempt(retry.Abandoned), false
			}
			eventDue = d.service.clock().Add(d.eventTimeout())
		}
		if err == io.EOF && !splitter.Partial() {
			d.service.recordProof(d.admission.Parts)
			if !d.headSent && !d.deliverEvents(reply.Head(), nil, "") {
				return d.newAttempt(retry.Abandoned), false
			}
			return retry.Attempt{}, true
		}
		if err == nil && splitter.Oversized() {
			err = errOversizedEvent
		}
		if err != nil {
			return d.brokenAttempt("stream broken", err, "after", d.lastEventID), false
		}
	}
}

// progress returns how much of the current attempt's answer has arrived.
func (d *delivery) progress() quarantine.Progress {
	switch {
	case !d.headReceived:
		return quarantine.Waiting
	case d.events == 0 && !d.bodyReceived:
		return quarantine.Begun
	case d.events <= 1:
		return quarantine.Started
	default:
		return quarantine.UnderWay
	}
}

// eventTimeout returns how long the target may send nothing during a stream.
func (d *delivery) eventTimeout() time.Duration {
	if !d.headSent {
		return d.admission.Route.EventTimeout() - firstEventReserve
	}
	return d.admission.Route.EventTimeout() - nextEventReserve
}

// deliverEvents writes complete events to the caller, preceded by the head if it
// was not written yet. lastEventID is the last ID in this run of the request, or "" if
// none of its events had one. It reports whether all writes succeeded.
func (d *delivery) deliverEvents(head Head, complete []byte, lastEventID string) bool {
	if !d.headSent {
		head.Length = -1
		if d.begin(head) != nil {
			return false
		}
		d.headSent, d.streamBegun = true, true
	}
	d.recordPart()
	if len(complete) > 0 && d.out.Write(complete) != nil {
		return false
	}
	if lastEventID != "" {
		d.lastEventID = lastEventID
	}
	return true
}

// recordPart records the time of a part of an answer: a buffered answer, or events
// that are written together. It is called just before the part is written, and not
// for an answer that is too large to be buffered or has a status of 500 or above.
func (d *delivery) recordPart() {
	now := d.service.clock()
	if d.lastPartAt.IsZero() {
		d.firstPartTime = now.Sub(d.arrived)
		d.service.meter.Observe("first_part_time", d.firstPartTime)
	} else {
		d.longestGap = max(d.longestGap, now.Sub(d.lastPartAt))
	}
	d.lastPartAt, d.admission = now, d.admission.WithHeard(now)
}

// begin writes the head of the answer to the caller.
func (d *delivery) begin(head Head) error {
	d.status = head.Status
	return d.out.Begin(head)
}

func withLength(head Head, length int) Head {
	head.Length = int64(length)
	return head
}
