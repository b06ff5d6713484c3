// Package wire defines the messages between entry instances and agents, converts
// them to and from the core's values, and manages the drpc connections that carry
// them. It also provides calls with JSON messages, for use between other
// processes. It makes no decisions about requests.
package wire
