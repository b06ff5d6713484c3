// Package splice decides which bytes of a received part continue an answer, so
// that a caller never receives bytes twice or out of order when parts arrive
// late, repeatedly or out of order.
package splice

// Alignment describes which bytes of a part are new.
type Alignment struct {
	Skip int  // Skip counts the leading bytes that were already delivered.
	Gap  bool // Gap is true if bytes before the part are missing.
}

// Align compares a part of length bytes at offset with an answer of which the
// first delivered bytes have been delivered. A part without new bytes has Skip
// equal to length.
func Align(delivered, offset uint64, length int) Alignment {
	if offset > delivered {
		return Alignment{Gap: true}
	}
	return Alignment{Skip: int(min(delivered-offset, uint64(length)))}
}

// Whole reports whether the delivered bytes are the whole answer: their number
// and digest equal length and digest, which the agent sent with the answer's end.
func Whole(delivered, length, deliveredDigest, digest uint64) bool {
	return delivered == length && deliveredDigest == digest
}
