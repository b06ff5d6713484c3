package limit

// Fractions of Load.MaxInFlight, by priority, from which the instance sheds
// requests. They don't apply to an account below its even share while several
// accounts are active.
const (
	lowPriorityFraction    = 0.70
	normalPriorityFraction = 0.85
	highPriorityFraction   = 0.95
)

// Load describes the requests in flight at an instance.
type Load struct {
	InFlight    int
	MaxInFlight int // MaxInFlight bounds InFlight.
	Accounts    int // Accounts is the number of client accounts with requests in flight.
}

// Sheds reports whether to shed a request of an account with the given priority
// and number of requests in flight. While several accounts are active, an account
// below its even share of MaxInFlight is shed only when the instance is full, so
// that a large account can't starve it. All others are shed from a fraction of
// MaxInFlight on, lowest for priorities below 0 and highest for those above 0.
func (l Load) Sheds(priority, inFlight int) bool {
	if l.InFlight >= l.MaxInFlight {
		return true
	}
	accounts := l.Accounts
	if inFlight == 0 {
		accounts++
	}
	if inFlight < max(1, l.MaxInFlight/accounts) && accounts > 1 {
		return false
	}
	return float64(l.InFlight) >= fractionFor(priority)*float64(l.MaxInFlight)
}

func fractionFor(priority int) float64 {
	switch {
	case priority < 0:
		return lowPriorityFraction
	case priority == 0:
		return normalPriorityFraction
	default:
		return highPriorityFraction
	}
}
