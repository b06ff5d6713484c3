package platform

import (
	"runtime/debug"
	"sync"
)

const (
	largePublicationBytes = 64 << 10
	lowMemoryGCPercent    = 20 // heap growth that starts a garbage collection
)

// gcPercentMu guards the GC percentage, which is one setting for the whole process.
var gcPercentMu sync.Mutex

// withLowMemory calls f, which parses a publication of size bytes. For a large one
// it collects garbage more often during f and then returns memory to the system:
// parsing leaves mostly garbage, and instances have little memory.
func withLowMemory(size int, f func()) {
	if size < largePublicationBytes {
		f()
		return
	}
	gcPercentMu.Lock()
	defer gcPercentMu.Unlock()
	before := debug.SetGCPercent(lowMemoryGCPercent)
	f()
	debug.SetGCPercent(before)
	debug.FreeOSMemory()
}
