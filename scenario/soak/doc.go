// Package soak holds the fault soak: its tests run the real programs as separate
// processes against stand-ins of the platform's store, servers and clients, do
// them harm from outside, and check what callers and servers saw.
package soak
