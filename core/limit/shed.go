package limit

// Parts of an instance's bound on requests in flight that accounts over their
// even share may fill, by priority, so that what is shed is shed early.
const (
	lowPart    = 0.70
	normalPart = 0.85
	highPart   = 0.95
)

// Load is how full an instance is.
type Load struct {
	InFlight int
	MaxInFlight     int // Most is the bound on requests in flight.
	Accounts int // Accounts counts the client accounts with requests in flight.
}

// Sheds reports whether a request is to be shed, of an account of some priority
// with so many requests running. An account below its even share has room up to
// the bound, so that a large one can't starve it. Above it, accounts of priority
// below 0 are shed first and those above 0 last.
func (l Load) Sheds(priority, running int) bool {
	if l.InFlight >= l.MaxInFlight {
		return true
	}
	accounts := l.Accounts
	if running == 0 {
		accounts++
	}
	if running < max(1, l.MaxInFlight/accounts) && accounts > 1 {
		return false
	}
	return float64(l.InFlight) >= part(priority)*float64(l.MaxInFlight)
}

func part(priority int) float64 {
	switch {
	case priority < 0:
		return lowPart
	case priority == 0:
		return normalPart
	default:
		return highPart
	}
}
