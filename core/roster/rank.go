package roster

// Rank is a target's place in a group of ranks, as the steward beside the target
// reports it. The zero value stands for a target that belongs to no group.
type Rank struct {
	Group  string  // Group names the group of ranks; it stays the same in all epochs.
	Epoch  uint64  // Epoch increases each time that the group forms anew.
	Number int     // Number is the target's number in the group, from 0.
	Size   int     // Size is the number of ranks of the group.
	Open   bool    // Open reports whether the group accepts requests.
	Map    uint64  // Map is the version of the expert map in use; a group that has just formed uses 0.
	Pace   float64 // Pace is the factor by which the rank's work takes longer than usual.
}
