package intake

// Connection is an open connection of a caller.
type Connection struct {
	Owner string
	Since int64 // Since orders connections by when their wait for a request began.
	Busy  bool  // Busy means that the connection carries a whole request, head and body, that has no complete answer yet.
}

// Victim returns the index of the connection to close when there are too many, or -1 if the
// new connection, which belongs to newOwner, is to be refused instead.
//
// Only connections that carry no whole request are considered. Among these it is the one that has
// waited longest, of the owner with the most connections that has such a connection; of
// owners with equally many, the one that has waited longest. The new connection counts
// for its owner: if that owner then has more connections than the owner of the victim, it is refused,
// so that no owner pays for another that holds more.
func Victim(connections []Connection, newOwner string) int {
	counts := make(map[string]int)
	counts[newOwner]++
	for _, c := range connections {
		counts[c.Owner]++
	}
	victim := -1
	for i, c := range connections {
		if c.Busy {
			continue
		}
		if victim < 0 || precedes(c, connections[victim], counts) {
			victim = i
		}
	}
	if victim >= 0 && counts[newOwner] > counts[connections[victim].Owner] {
		return -1
	}
	return victim
}

// precedes reports whether c is closed before d.
func precedes(c, d Connection, counts map[string]int) bool {
	if counts[c.Owner] != counts[d.Owner] {
		return counts[c.Owner] > counts[d.Owner]
	}
	return c.Since < d.Since
}
