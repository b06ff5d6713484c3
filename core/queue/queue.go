// Package queue orders the requests that wait for a place at the targets of a service.
//
// Requests of a higher rank come first. Within a rank the client accounts take turns, so
// that one with many requests doesn't keep the others waiting, and those of one account
// come in the order of their arrival. While several ranks wait, one place in lowShare goes
// to the request that has waited longest of those below the highest rank, so that none
// starves. What callers say of their time, and how often they come back, changes nothing.
package queue

import (
	"cmp"
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

// lowShare makes sure that requests of a low rank are served at least a quarter as often
// as all, which the platform demands of each kind of request.
const lowShare = 4

// Place identifies a waiting request. The zero value stands for a request that doesn't wait.
type Place struct {
	service string
	rank    int
	number  uint64 // number rises with each arrival; zero for a request that doesn't wait
}

// Waits reports whether the request waits.
func (p Place) Waits() bool { return p.number != 0 }

// Entry describes a waiting request.
type Entry struct {
	Account string
	Arrived time.Time
	Tried   []string // Tried are the targets at which the request can't be served; never written after construction.
}

type placeOrder struct{}

// Compare orders places by service, rank and number.
func (placeOrder) Compare(a, b Place) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.rank, b.rank), cmp.Compare(a.number, b.number))
}

// account identifies a client account at a service.
type account struct{ service, name string }

type accountOrder struct{}

// Compare orders accounts by service and name.
func (accountOrder) Compare(a, b account) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.name, b.name))
}

// Queue holds the waiting requests of all services. Use New; the zero value is not usable.
type Queue struct {
	entries *immutable.SortedMap[Place, Entry]
	turns   *immutable.SortedMap[account, uint64] // when each account last got a place while others waited, by count
	taken   *immutable.Map[string, uint64]        // places taken while several ranks waited, by service
	number  uint64                                // of the latest place
	turn    uint64                                // of the latest turn
}

// New returns an empty queue.
func New() Queue {
	return Queue{
		entries: immutable.NewSortedMap[Place, Entry](placeOrder{}),
		turns:   immutable.NewSortedMap[account, uint64](accountOrder{}),
		taken:   immutable.NewMap[string, uint64](nil),
	}
}

// Len returns the number of waiting requests of all services.
func (q Queue) Len() int { return q.entries.Len() }

// Next returns the place that a request would get if it began to wait now.
func (q Queue) Next(service string, rank int) Place {
	return Place{service: service, rank: rank, number: q.number + 1}
}

// With returns the queue with one more request, and its place.
func (q Queue) With(service string, rank int, e Entry) (Queue, Place) {
	place := q.Next(service, rank)
	q.number++
	q.entries = q.entries.Set(place, e)
	return q, place
}

// Without returns the queue without a request that is refused or whose caller left.
func (q Queue) Without(p Place) Queue {
	if p.Waits() {
		q.entries = q.entries.Delete(p)
	}
	return q
}

// WithTaken returns the queue after the request at p, which may also be a place that Next
// returned, got a place at a target.
func (q Queue) WithTaken(p Place, accountName string) Queue {
	if q.entries.Len() == 0 {
		return q
	}
	if first, last := q.ranks(p.service); first != last {
		taken, _ := q.taken.Get(p.service)
		q.taken = q.taken.Set(p.service, taken+1)
	}
	q.turn++
	q.turns = q.turns.Set(account{p.service, accountName}, q.turn)
	return q.Without(p)
}

// ranks returns the highest and the lowest rank that wait for a service.
func (q Queue) ranks(service string) (first, last int) {
	first, last = math.MaxInt, math.MinInt
	q.each(service, func(p Place, _ Entry) { first, last = min(first, p.rank), max(last, p.rank) })
	return first, last
}

// Ahead returns how many of the requests that get a place before that of an account at p
// count. p may also be a place that Next returned.
func (q Queue) Ahead(p Place, accountName string, counts func(Entry) bool) int {
	if q.entries.Len() == 0 {
		return 0
	}
	ahead := 0
	var spared Place
	if taken, _ := q.taken.Get(p.service); taken%lowShare == lowShare-1 {
		var first Entry
		if spared, first = q.oldestLow(p.service); spared == p {
			return 0
		}
		if spared.Waits() && counts(first) {
			ahead++
		}
	}
	own, others := 0, map[string]int{}
	heads := map[string]uint64{}
	q.each(p.service, func(other Place, e Entry) {
		switch {
		case other == spared || !counts(e):
		case other.rank < p.rank:
			ahead++
		case other.rank > p.rank:
		case e.Account == accountName:
			if other.number < p.number {
				own++
			}
		default:
			if others[e.Account]++; others[e.Account] == 1 {
				heads[e.Account] = other.number
			}
		}
	})
	if len(others) == 0 {
		return ahead + own
	}
	head := p.number
	if own > 0 {
		head = q.head(p, accountName)
	}
	for name, waiting := range others {
		turnsBefore := own
		if q.before(account{p.service, name}, heads[name], account{p.service, accountName}, head) {
			turnsBefore++
		}
		ahead += min(waiting, turnsBefore)
	}
	return ahead + own
}

// head returns the number of the first request of an account in the rank of p.
func (q Queue) head(p Place, accountName string) uint64 {
	head := p.number
	q.each(p.service, func(other Place, e Entry) {
		if other.rank == p.rank && e.Account == accountName {
			head = min(head, other.number)
		}
	})
	return head
}

// before reports whether the account a has its turn before b, by when they had their last
// one and then by the numbers of their first requests.
func (q Queue) before(a account, headA uint64, b account, headB uint64) bool {
	turnA, _ := q.turns.Get(a)
	turnB, _ := q.turns.Get(b)
	return cmp.Or(cmp.Compare(turnA, turnB), cmp.Compare(headA, headB)) < 0
}

// Expected returns how many requests are expected to get a place before that of an account
// at p, which may also be a place that Next returned, by the waiting ones alone.
func (q Queue) Expected(p Place, accountName string) int {
	if q.entries.Len() == 0 {
		return 0
	}
	ahead := q.Ahead(p, accountName, func(Entry) bool { return true })
	self, waits := q.entries.Get(p)
	first, last := q.ranks(p.service)
	if first = min(first, p.rank); p.rank == first && p.rank < last {
		return ahead + ahead/(lowShare-1)
	}
	if p.rank == first {
		return ahead
	}
	older := 0
	q.each(p.service, func(other Place, e Entry) {
		if other.rank > first && other != p && (!waits || e.Arrived.Before(self.Arrived)) {
			older++
		}
	})
	return min(ahead, lowShare*(older+1)-1)
}

// oldestLow returns the waiting request of a service that arrived first of those below the
// highest rank that waits.
func (q Queue) oldestLow(service string) (Place, Entry) {
	var top, oldest Place
	var first Entry
	q.each(service, func(p Place, e Entry) {
		switch {
		case !top.Waits():
			top = p
		case p.rank > top.rank && (!oldest.Waits() || e.Arrived.Before(first.Arrived)):
			oldest, first = p, e
		}
	})
	return oldest, first
}

// each calls visit with the requests of a service in the order of their places.
func (q Queue) each(service string, visit func(Place, Entry)) {
	i := q.entries.Iterator()
	i.Seek(Place{service: service, rank: math.MinInt})
	for !i.Done() {
		p, e, _ := i.Next()
		if p.service != service {
			return
		}
		visit(p, e)
	}
}
