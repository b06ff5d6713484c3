// Package soak holds the fault soak. Its tests run the real programs as separate
// processes against stand-ins for the platform's store, servers and clients, inject
// faults from outside, and check what callers and servers observed.
package soak
