// Package document parses configurations and the settings of processes from JSON
// with comments, and prints configurations as JSON.
//
// The Parse functions check a text in three stages: its syntax; then for unknown,
// repeated and mistyped members; then for invalid values. They report the faults of
// the first stage that finds any, each with its line: one for the syntax, all for the
// other stages. Package fleet validates configurations; this package adds the lines.
package document
