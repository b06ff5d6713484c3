// Package switching decides how a group of ranks switches to another expert map,
// so that all ranks begin each pass on the same map. A pass is one step that all
// ranks of the group run together; the Step fields hold the numbers of passes. An
// expert map assigns experts to ranks; the Version fields number the maps. A group
// whose ranks start anew has a new epoch, with nothing prepared, armed or held.
//
// A rank that is armed with a map for a pass switches to that map when the pass
// begins, whatever the other ranks do. So the leader, the steward beside rank 0,
// first orders another rank to hold the pass, then arms all ranks for it, and
// releases the pass only when every rank is known to be armed. A rank may carry out
// an order after the leader gave up waiting for the answer. The comment of each
// Verb says why such a late order is harmless.
package switching

// Verb is what an order asks of a rank.
type Verb string

// The verbs. Each order carries the epoch of the group; ranks refuse an order of
// another epoch.
const (
	// Prepare makes a rank copy the experts of a map. The rank refuses a late
	// Prepare, since it has already had that version or a higher one.
	Prepare Verb = "prepare"
	// Arm makes a rank switch to a prepared map when a pass begins. When a late Arm
	// arrives, the pass has begun, the rank is armed with the same version for the
	// same pass, or a later Prepare has replaced the version.
	Arm Verb = "arm"
	// Disarm cancels an Arm. When a late Disarm arrives, the rank either isn't armed
	// with its version or already uses it, since no version is armed again after its
	// Disarm. One case is not excluded: a leader that restarts during Undoing finds
	// all ranks armed and releases the pass, while a Disarm of the leader's rank sent
	// before the restart is still in flight.
	Disarm Verb = "disarm"
	// Hold keeps a pass from beginning. When a late Hold arrives, the pass has begun,
	// or the steward beside the rank observes the held pass and resolves it; see
	// Coordinator.
	Hold Verb = "hold"
	// Release lets a held pass begin. When a late Release arrives, its pass may begin
	// or has begun, since Release is sent only when the pass may begin, and a pass that was
	// released is not held for another switch.
	Release Verb = "release"
)

// Order is an order to one rank.
type Order struct {
	Verb    Verb
	Rank    int
	Epoch   uint64
	Version uint64
	Step    uint64 // Step is the pass that the order is about.
	Map     Map    // Map is set only for Prepare.
}

// Map is an expert map, indexed by layer set and rank; each element lists the experts
// of a rank in a layer set. It is never written after construction.
type Map [][][]int

// Status is the status that a rank reports.
type Status struct {
	Rank      int
	Size      int
	Epoch     uint64
	Open      bool   // Open reports whether the group accepts requests.
	Step      uint64 // Step is the last pass that began.
	Map       uint64 // Map is the version in use.
	Prepared  uint64 // Prepared is the version whose copy is complete; 0 for none.
	Armed     uint64 // Armed is the version that the rank is armed with; 0 for none.
	ArmedStep uint64 // ArmedStep is the pass that the rank is armed for; 0 for none.
	Held      uint64 // Held is the pass that the rank holds; 0 for none.
	Lagging   bool   // Lagging means that the status may be up to maxLag old.
}

// Statuses holds the last status of each rank of a group, by rank.
type Statuses map[int]Status

// Complete reports whether there is a status of that epoch from each of the size
// ranks of a group.
func (s Statuses) Complete(size int, epoch uint64) bool {
	for rank := range size {
		if status, found := s[rank]; !found || status.Epoch != epoch {
			return false
		}
	}
	return size > 0
}

// highestVersion returns the highest version in any rank's status.
func (s Statuses) highestVersion() uint64 {
	highest := uint64(0)
	for _, status := range s {
		highest = max(highest, status.Map, status.Prepared, status.Armed)
	}
	return highest
}

// lastStep returns the last pass that began, as far as the statuses tell.
func (s Statuses) lastStep() uint64 {
	last := uint64(0)
	for _, status := range s {
		last = max(last, status.Step)
	}
	return last
}
