// Package scenario contains end-to-end tests. Scripts in testdata start the
// programs as separate processes and cause real failures. The package has no
// code outside its tests.
package scenario
