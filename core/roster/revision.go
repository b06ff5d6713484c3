package roster

// A revision says how far the platform's store had come when something was written. The
// store may come back from an older copy and then gives out numbers again. Each return
// begins an era, and a revision holds the era above the store's number, so that
// what a later era has written is newer than all before it.
const (
	numberBits = 44
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// Revision returns the revision of an era and a number that the store gave out in it.
func Revision(era, number uint64) uint64 {
	return min(era, maxEra)<<numberBits | min(number, maxNumber)
}

// Era returns the era of a revision; 0 if the store named none.
func Era(revision uint64) uint64 { return revision >> numberBits }

// Number returns the number that the store gave out.
func Number(revision uint64) uint64 { return revision & maxNumber }
