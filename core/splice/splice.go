// Package splice decides which bytes of a received part, a piece of an answer,
// continue the answer, so that a caller never receives bytes twice or out of order
// when parts arrive late, repeatedly or out of order.
package splice

// Alignment describes which bytes of a part are new.
type Alignment struct {
	Skip int  // Skip counts the leading bytes that were already delivered.
	Gap  bool // Gap is true if bytes before the part are missing.
}

// Align returns which bytes of a part are new. The part has length bytes and begins
// at offset in the answer; delivered is the number of bytes of the answer that the
// caller has received. A part without new bytes has Skip equal to length.
func Align(delivered, offset uint64, length int) Alignment {
	if offset > delivered {
		return Alignment{Gap: true}
	}
	return Alignment{Skip: int(min(delivered-offset, uint64(length)))}
}

// Whole reports whether the delivered bytes are the whole answer: their number
// and digest equal length and digest, which the agent sent with the answer's end.
// Both digests cover only the bytes of the current attempt, which may continue an
// answer that an earlier attempt began.
func Whole(delivered, length, deliveredDigest, digest uint64) bool {
	return delivered == length && deliveredDigest == digest
}
