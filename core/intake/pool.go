// Package intake decides how much of a process's memory and how many of its connections
// its callers may take. Callers are told apart by owners, which the package doesn't
// interpret.
package intake

import "github.com/benbjohnson/immutable"

// The memory that a parsed head takes. net/textproto reckons with 200 bytes for each entry
// of its header map, besides the name and the value.
const (
	costPerByte = 4
	costPerLine = 256
)

// Cost returns the memory that a parsed head takes, from its bytes and its lines.
func Cost(bytes, lines int) int64 {
	return costPerByte*int64(bytes) + costPerLine*int64(lines)
}

// Pool is the memory that a process reserves for the heads and bodies of requests. It is
// immutable.
//
// An owner may hold at most as much as stays free for all others, so that its share
// falls as others need more (dynamic thresholds, Choudhury and Hahne, IEEE/ACM
// Transactions on Networking, 1998). With n owners that hold memory, at least 1/2^n of
// the pool is free, whatever they do.
type Pool struct {
	size int64
	used int64
	held *immutable.Map[string, int64] // by owner, without those that hold nothing
}

// New returns an empty pool of size bytes.
func New(size int64) Pool {
	return Pool{size: size, held: immutable.NewMap[string, int64](nil)}
}

// Reserve returns the pool with bytes more held by owner. It returns the pool unchanged and
// false if the owner would hold more than would stay free.
func (p Pool) Reserve(owner string, bytes int64) (Pool, bool) {
	held, _ := p.held.Get(owner)
	if bytes < 0 || bytes > p.size-p.used || held+bytes > p.size-p.used-bytes {
		return p, false
	}
	if bytes == 0 {
		return p, true
	}
	p.used += bytes
	p.held = p.held.Set(owner, held+bytes)
	return p, true
}

// Release returns the pool with bytes less held by owner, or with none if the owner held
// less than that.
func (p Pool) Release(owner string, bytes int64) Pool {
	held, _ := p.held.Get(owner)
	bytes = max(0, min(bytes, held))
	p.used -= bytes
	if held == bytes {
		p.held = p.held.Delete(owner)
	} else {
		p.held = p.held.Set(owner, held-bytes)
	}
	return p
}

// Used returns the bytes that all owners hold.
func (p Pool) Used() int64 { return p.used }

// Held returns the bytes that owner holds.
func (p Pool) Held(owner string) int64 {
	held, _ := p.held.Get(owner)
	return held
}
