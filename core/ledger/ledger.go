// Package ledger records what one incarnation of a target's agent did with each
// non-idempotent request. The records ensure that no request starts twice, and
// that a request reported as "not run" never starts.
//
// A Ledger is an immutable value; recording returns a new Ledger that shares all
// unchanged records. It stores no answers and runs nothing.
package ledger

import (
	"time"

	"github.com/benbjohnson/immutable"

	"hornbeamtray/core/ticket"
)

// DefaultCapacity is the default number of started and finished requests that a
// Ledger records at once. It records a voided request only while it has fewer
// than twice that many records of all stages.
const DefaultCapacity = 50_000

// Stage is the state of a request in the ledger.
type Stage int

// Stages of a request. A request is either started or voided, never both.
const (
	Absent   Stage = iota // Absent: the ledger has no record of the request.
	Started               // Started: the target may have run part of the request.
	Finished              // Finished: the request ended; its answer is kept until the ticket expires.
	Voided                // Voided: the request did not start and never will.
)

// Record describes the request of one ticket.
type Record struct {
	Ticket ticket.Ticket
	Digest uint64 // Digest of the request's call, content type and body; it differs if a ticket is reused for another request.
	Stage  Stage
	Bytes  int64 // Bytes is the size reserved for the answer while the request runs, then the answer's size.
}

// Matches reports whether a request of this account with this digest is a repeat
// of the recorded request.
func (r Record) Matches(account string, digest uint64) bool {
	return r.Ticket.Account == account && r.Digest == digest
}

// Ledger maps ticket IDs to records and tracks the bytes reserved for answers.
type Ledger struct {
	capacity int
	starts   int   // number of records in stage Started or Finished
	held     int64 // sum of Bytes over all records
	records  *immutable.Map[string, Record]
	expiries *immutable.SortedMap[expiryKey, struct{}]
	latest   time.Time // the latest time passed to WithTime; never moves back
}

// New returns an empty ledger for up to capacity started and finished requests.
func New(capacity int) Ledger {
	return Ledger{
		capacity: capacity,
		records:  immutable.NewMap[string, Record](nil),
		expiries: immutable.NewSortedMap[expiryKey, struct{}](expiryOrder{}),
	}
}

// WithTime returns the ledger with its time advanced to now. An earlier time has
// no effect, so that an expired ticket doesn't become valid again after the clock
// was set back.
func (l Ledger) WithTime(now time.Time) Ledger {
	if now.After(l.latest) {
		l.latest = now
	}
	return l
}

// Now returns the ledger's time, which never moves back.
func (l Ledger) Now() time.Time { return l.latest }

// Len returns the number of records.
func (l Ledger) Len() int { return l.records.Len() }

// Held returns the number of bytes that answers use or have reserved.
func (l Ledger) Held() int64 { return l.held }

// Lookup returns the record of a ticket ID, or one in stage Absent if there is none.
func (l Ledger) Lookup(id string) Record {
	record, _ := l.records.Get(id)
	return record
}

// CanStart reports whether the ledger has room to record one more start.
func (l Ledger) CanStart() bool { return l.starts < l.capacity }

// CanVoid reports whether the ledger has room to record one more voided request.
func (l Ledger) CanVoid() bool { return l.records.Len() < 2*l.capacity }

// WithStarted records that a request starts and reserves bytes for its answer.
// The request must be in stage Absent.
func (l Ledger) WithStarted(t ticket.Ticket, digest uint64, bytes int64) Ledger {
	l.starts++
	l.held += bytes
	return l.withRecord(Record{Ticket: t, Digest: digest, Stage: Started, Bytes: bytes})
}

// WithVoided records that a request must never start. The request must be in
// stage Absent.
func (l Ledger) WithVoided(t ticket.Ticket) Ledger {
	return l.withRecord(Record{Ticket: t, Stage: Voided})
}

// WithFinished records that a started request ended with an answer of the given
// size in bytes. It has no effect on a request in another stage.
func (l Ledger) WithFinished(id string, bytes int64) Ledger {
	record, found := l.records.Get(id)
	if !found || record.Stage != Started {
		return l
	}
	l.held += bytes - record.Bytes
	record.Stage, record.Bytes = Finished, bytes
	l.records = l.records.Set(id, record)
	return l
}

// Swept returns the ledger without the voided and finished records whose tickets
// have expired, and the ticket IDs of the finished ones. Records in stage Started
// stay, because their requests still run.
func (l Ledger) Swept() (Ledger, []string) {
	var expired []expiryKey
	for i := l.expiries.Iterator(); !i.Done(); {
		key, _, _ := i.Next()
		if key.at.After(l.latest) {
			break
		}
		expired = append(expired, key)
	}
	var dropped []string
	for _, key := range expired {
		record, _ := l.records.Get(key.id)
		if record.Stage == Started {
			continue
		}
		if record.Stage == Finished {
			dropped = append(dropped, key.id)
			l.starts--
			l.held -= record.Bytes
		}
		l.records = l.records.Delete(key.id)
		l.expiries = l.expiries.Delete(key)
	}
	return l, dropped
}

func (l Ledger) withRecord(record Record) Ledger {
	l.records = l.records.Set(record.Ticket.ID, record)
	l.expiries = l.expiries.Set(expiryKey{at: record.Ticket.Expiry, id: record.Ticket.ID}, struct{}{})
	return l
}

// expiryKey sorts records by the expiry of their tickets. A record may be removed
// from that time on.
type expiryKey struct {
	at time.Time
	id string
}

type expiryOrder struct{}

// Compare compares by time, then by ID.
func (expiryOrder) Compare(a, b expiryKey) int {
	if order := a.at.Compare(b.at); order != 0 {
		return order
	}
	switch {
	case a.id < b.id:
		return -1
	case a.id > b.id:
		return 1
	}
	return 0
}
