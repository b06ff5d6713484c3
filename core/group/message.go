package group

// Kind is the kind of a message.
type Kind int

// The kinds of message.
const (
	Hello     Kind = iota // Hello carries the epochs that the sender knows and the map that it had in use before the group formed.
	Joined                // Joined reports that the sender is ready to step in the group of these epochs, beginning on the map that it carries.
	Prepare               // Prepare requests a vote on the proposal.
	Vote                  // Vote is the sender's final vote on the proposal.
	Certified             // Certified reports that all ranks voted ready.
	Aborted               // Aborted reports that some rank refused.
	Query                 // Query asks for the outcome of the proposal.
)

// Message is a message from one rank to another.
type Message struct {
	Kind       Kind
	From, To   int
	Epochs     []uint64 // Epochs, in Hello and Joined, holds the newest epoch that the sender knows of each rank; 0 for none.
	Map        uint64   // Map, in Hello and Joined, is the version of the map that the message carries.
	Proposal   Proposal
	Ready      bool // Ready, in a Vote, reports whether the sender accepts the proposal.
	WantsReply bool // WantsReply, in a Hello, asks for the receiver's Hello.
}

// Proposal is a switch to the next map.
type Proposal struct {
	Group    uint64 // Group is the ID of the group that it is for.
	Base     uint64 // Base is the version of the map that the new map replaces.
	Map      uint64 // Map is the version of the new map.
	Proposer int    // Proposer distinguishes proposals of the same map by several ranks.
	Step     uint64 // Step is the first step on the new map.
}

// outcome is the outcome of a proposal.
type outcome int

const (
	undecided outcome = iota
	certified
	aborted
)
