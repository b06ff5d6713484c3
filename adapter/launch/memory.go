package launch

import (
	"bytes"
	"math"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/gravitational/trace"

	"hornbeamtray/adapter/journal"
)

const (
	memoryInfoPath      = "/proc/meminfo"
	memoryLimitVariable = "GOMEMLIMIT" // with which operators set the limit themselves; the Go runtime reads it
)

// limitMemory sets the soft memory limit of the Go runtime to three quarters of the machine's
// memory and logs it. Near the limit, the garbage collector runs more often, before the memory
// of the machine is used up. The rest is for the kernel's buffers of connections and for other
// processes. It changes nothing if the limit is set by GOMEMLIMIT, or if the file at path, in
// the format of /proc/meminfo, can't be read.
func limitMemory(path string, log journal.Log) {
	if os.Getenv(memoryLimitVariable) != "" {
		log.Event("memory limit", "bytes", debug.SetMemoryLimit(-1), "source", memoryLimitVariable)
		return
	}
	total, err := totalMemory(path)
	if err != nil {
		log.Event("no memory limit", "error", err)
		return
	}
	limit := total / 4 * 3
	debug.SetMemoryLimit(limit)
	log.Event("memory limit", "bytes", limit, "source", path)
}

// totalMemory returns the memory of the machine in bytes.
func totalMemory(path string) (int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	for line := range bytes.Lines(text) {
		fields := bytes.Fields(line)
		if len(fields) != 3 || string(fields[0]) != "MemTotal:" || string(fields[2]) != "kB" {
			continue
		}
		if kB, err := strconv.ParseInt(string(fields[1]), 10, 64); err == nil && kB > 0 && kB <= math.MaxInt64>>10 {
			return kB << 10, nil
		}
	}
	return 0, trace.BadParameter("%s has no usable MemTotal", path)
}
