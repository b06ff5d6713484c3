package ingress

import (
	"syscall"
	"time"
)

const (
	defaultHeadBytes   = 64 << 10         // until the operators' limit is known
	maxHeadBytes       = 1 << 20          // whatever the operators allow; net/http's own limit
	requestLineBytes   = 4 << 10          // added to the operators' limit, which holds for header lines
	minHeadLines       = 8192             // more than the 20,480 bytes of a head with the usual limit hold
	minLineBytes       = 3                // "a:" and a newline
	maxEmptyLines      = 8                // before a request
	defaultHeadTimeout = 10 * time.Second // until the operators' timeout is known
	headTimeoutMargin  = 500 * time.Millisecond
	defaultIdleTimeout = 2 * time.Minute // until the operators' timeout is known
	defaultBodyTimeout = 30 * time.Second
	defaultBodyBytes   = 16 << 20               // until the operators' limit is known
	lateReadTimeout    = 100 * time.Millisecond // to read what arrived while the process was paused

	defaultMemory = 32 << 20
	freeMemory    = 8 << 10 // of each connection; not taken from the pool, since net/http uses as much for buffers

	defaultCallers      = 2000 // connections
	defaultProbes       = 512  // connections
	reservedDescriptors = 600  // for files, targets, the store and peers
	minDescriptorShare  = 4    // each kind of listener gets this part of the descriptors if few are left
)

// Limits are the published limits on heads and idle connections. Zero fields mean the
// defaults.
type Limits struct {
	HeadBytes   int           // HeadBytes bounds the header lines of a request.
	HeadTimeout time.Duration // HeadTimeout bounds the time to receive a head.
	IdleTimeout time.Duration // IdleTimeout is how long a connection may be idle.
}

// bounds are what the guard applies to connections.
type bounds struct {
	headBytes   int
	headLines   int
	headTimeout time.Duration
	idleTimeout time.Duration
	bodyTimeout time.Duration // without a byte of the body
}

// bounds returns the bounds that follow from l.
func (l Limits) bounds() *bounds {
	b := &bounds{headBytes: defaultHeadBytes, headLines: minHeadLines, headTimeout: defaultHeadTimeout, idleTimeout: defaultIdleTimeout, bodyTimeout: defaultBodyTimeout}
	if l.HeadBytes > 0 {
		b.headBytes = min(l.HeadBytes, maxHeadBytes-requestLineBytes) + requestLineBytes
		b.headLines = max(minHeadLines, b.headBytes/minLineBytes+1)
	}
	if l.HeadTimeout > 0 {
		b.headTimeout = l.HeadTimeout + headTimeoutMargin
	}
	if l.IdleTimeout > 0 {
		b.idleTimeout = l.IdleTimeout
	}
	return b
}

// callerBound returns how many of n connections of callers the process's descriptors allow.
func callerBound(n, descriptors int) int {
	return max(1, min(n, max(descriptors-reservedDescriptors, descriptors/minDescriptorShare)))
}

// probeBound returns how many connections of probes the process's descriptors allow.
func probeBound(descriptors int) int {
	return max(1, min(defaultProbes, descriptors/minDescriptorShare))
}

// descriptorLimit returns the process's limit on open descriptors.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultCallers + reservedDescriptors // fails only for an invalid argument
	}
	return int(min(limit.Cur, 1<<30))
}
