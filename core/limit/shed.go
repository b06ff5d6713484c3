package limit

// Fractions of Load.MaxInFlight, by priority. At this fill level the instance
// starts to shed requests of accounts that are over their even share.
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
// below its even share is shed only when the instance is full, so that a large
// account can't starve it. Otherwise requests of priority below 0 are shed first
// and those above 0 last.
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
