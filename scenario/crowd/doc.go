// Package crowd holds tests with crowds of untrusted callers. It runs the real programs
// as separate processes, connects a crowd to them, and checks from outside what the
// processes use and whether other callers are served. Each test needs the machine for
// itself. The package has no code outside its tests.
package crowd
