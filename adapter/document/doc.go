// Package document parses configurations and the settings of processes from JSON
// with comments, and prints configurations as JSON.
//
// A Parse function reports a syntax error alone; otherwise all unknown, repeated and
// mistyped members; and if there are none, all invalid values. Each fault has its
// line. The core validates configurations; this package adds the lines.
package document
