package admission

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// Limits on one client account's share of a target while others use the target.
const (
	shareNumerator   = 3
	shareDenominator = 4
	minSharedLimit   = 4                // a quarter of a lower limit is less than one request, so nothing is reserved
	activeWindow     = 10 * time.Second // an account is active for this long after its last request
)

// Shares counts the requests that each client account runs on a target.
type Shares struct {
	accounts *immutable.Map[string, usage]
}

// usage is one account's use of the target.
type usage struct {
	running     int
	lastRequest time.Time
}

// NewShares returns shares without accounts.
func NewShares() Shares {
	return Shares{accounts: immutable.NewMap[string, usage](nil)}
}

// WithRequest returns the shares after an account sent a request at time now,
// whether or not the request starts.
func (s Shares) WithRequest(account string, now time.Time) Shares {
	u, _ := s.accounts.Get(account)
	u.lastRequest = now
	s.accounts = s.accounts.Set(account, u)
	return s
}

// Allows reports whether an account may start one more request on a target with
// the given limit. While no other account is active, an account may use the
// whole limit; otherwise it may use three quarters.
func (s Shares) Allows(account string, limit int, now time.Time) bool {
	if limit < minSharedLimit || !s.othersActive(account, now) {
		return true
	}
	u, _ := s.accounts.Get(account)
	return u.running < limit*shareNumerator/shareDenominator
}

// WithStart returns the shares after a request of the account started.
func (s Shares) WithStart(account string) Shares {
	u, _ := s.accounts.Get(account)
	u.running++
	s.accounts = s.accounts.Set(account, u)
	return s
}

// WithEnd returns the shares after a request of the account ended.
func (s Shares) WithEnd(account string) Shares {
	u, _ := s.accounts.Get(account)
	u.running = max(0, u.running-1)
	s.accounts = s.accounts.Set(account, u)
	return s
}

// WithoutIdle returns the shares without accounts that run nothing and sent no
// request within activeWindow.
func (s Shares) WithoutIdle(now time.Time) Shares {
	for i := s.accounts.Iterator(); !i.Done(); {
		account, u, _ := i.Next()
		if u.running == 0 && now.Sub(u.lastRequest) > activeWindow {
			s.accounts = s.accounts.Delete(account)
		}
	}
	return s
}

// othersActive reports whether any other account runs a request or sent one
// within activeWindow.
func (s Shares) othersActive(account string, now time.Time) bool {
	for i := s.accounts.Iterator(); !i.Done(); {
		other, u, _ := i.Next()
		if other != account && (u.running > 0 || now.Sub(u.lastRequest) <= activeWindow) {
			return true
		}
	}
	return false
}
