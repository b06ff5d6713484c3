// Package switching decides how a group of ranks that step together goes over
// to another expert map, so that no pass begins on two maps.
//
// Ranks don't compare maps: each switches on its own as the pass begins for
// which it was armed. So the leader, the steward beside rank 0, first has another
// rank hold the pass, then arms all ranks for it, and releases the pass only when
// every rank is known to be armed. An order without an answer may still be
// carried out later; why each is harmless then stands with its verb.
package switching

// Verb is what an order asks of a rank.
type Verb string

// The verbs. Each order names the epoch of the group: in another one ranks
// refuse it.
const (
	// Prepare has a rank copy the experts of a map. A late one is refused: the
	// rank has had a version as high.
	Prepare Verb = "prepare"
	// Arm has a rank switch as a pass begins. A late one finds the pass begun, or
	// the rank armed alike, or its version replaced by a later Prepare.
	Arm Verb = "arm"
	// Disarm takes an Arm back. A late one finds its version unused or in use,
	// since no version is armed again after it.
	Disarm Verb = "disarm"
	// Hold keeps a pass from beginning. A late one finds the pass begun, or is
	// seen by the steward beside the rank, which resolves it.
	Hold Verb = "hold"
	// Release lets a held pass begin. A late one finds its pass begun, since it is
	// sent only when the pass may begin.
	Release Verb = "release"
)

// Order is one order to one rank.
type Order struct {
	Verb    Verb
	Rank    int
	Epoch   uint64
	Version uint64
	Step    uint64 // Step is the pass that the order is about.
	Map     Map    // Map is set with Prepare.
}

// Map is a placement: the experts by layer set and rank. It is never written
// after construction.
type Map [][][]int

// Status is what a rank says of itself.
type Status struct {
	Rank      int
	Size      int
	Epoch     uint64
	Open      bool   // Open: the group takes requests.
	Step      uint64 // Step is the last pass that began.
	Map       uint64 // Map is the version in use.
	Prepared  uint64 // Prepared is the version whose copy is complete; 0 for none.
	Armed     uint64 // Armed is the version that the rank is armed with; 0 for none.
	ArmedStep uint64 // ArmedStep is the pass that it is armed for.
	Held      uint64 // Held is the pass that it holds; 0 for none.
}

// Statuses are what the ranks of a group said last, by rank.
type Statuses map[int]Status

// Complete reports whether all ranks of the group of an epoch are known.
func (s Statuses) Complete(size int, epoch uint64) bool {
	for rank := range size {
		if status, found := s[rank]; !found || status.Epoch != epoch {
			return false
		}
	}
	return size > 0
}

// newest returns the highest version that any rank has had.
func (s Statuses) newest() uint64 {
	newest := uint64(0)
	for _, status := range s {
		newest = max(newest, status.Map, status.Prepared, status.Armed)
	}
	return newest
}
