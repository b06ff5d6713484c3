package admission

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// Bounds on what one client account may hold of a target while others ask for it.
const (
	shareNumerator   = 3
	shareDenominator = 4
	minShared        = 4 // below this limit there is no room to keep free
	recent           = 10 * time.Second
)

// Shares tells how much of a target each client account holds.
type Shares struct {
	accounts *immutable.Map[string, held]
}

// held is what one account holds, and when it last asked.
type held struct {
	running int
	asked   time.Time
}

// NewShares returns shares that nobody holds.
func NewShares() Shares {
	return Shares{accounts: immutable.NewMap[string, held](nil)}
}

// WithRequest returns the shares after an account asked for work at time now.
func (s Shares) WithRequest(account string, now time.Time) Shares {
	h, _ := s.accounts.Get(account)
	h.asked = now
	s.accounts = s.accounts.Set(account, h)
	return s
}

// Allows reports whether an account may start one more request on a target that
// bears limit. An account that asks alone may have all of it; otherwise it
// leaves a quarter to the others.
func (s Shares) Allows(account string, limit int, now time.Time) bool {
	if limit < minShared || !s.others(account, now) {
		return true
	}
	h, _ := s.accounts.Get(account)
	return h.running < limit*shareNumerator/shareDenominator
}

// WithStart returns the shares after a request of the account started.
func (s Shares) WithStart(account string) Shares {
	h, _ := s.accounts.Get(account)
	h.running++
	s.accounts = s.accounts.Set(account, h)
	return s
}

// WithEnd returns the shares after a request of the account ended.
func (s Shares) WithEnd(account string) Shares {
	h, _ := s.accounts.Get(account)
	h.running = max(0, h.running-1)
	s.accounts = s.accounts.Set(account, h)
	return s
}

// WithoutIdle returns the shares without accounts that hold nothing and asked for
// nothing of late.
func (s Shares) WithoutIdle(now time.Time) Shares {
	for i := s.accounts.Iterator(); !i.Done(); {
		account, h, _ := i.Next()
		if h.running == 0 && now.Sub(h.asked) > recent {
			s.accounts = s.accounts.Delete(account)
		}
	}
	return s
}

func (s Shares) others(account string, now time.Time) bool {
	for i := s.accounts.Iterator(); !i.Done(); {
		other, h, _ := i.Next()
		if other != account && (h.running > 0 || now.Sub(h.asked) <= recent) {
			return true
		}
	}
	return false
}
