// Package soak holds a soak test with fault injection. It runs the real programs as
// separate processes against stand-ins for the platform's store, servers and clients,
// injects faults from outside, and checks what the clients (callers) and servers
// observed.
package soak
