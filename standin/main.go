// Command standin simulates the platform, targets and networks in tests and
// demonstrations.
package main

import (
	"os"

	"hornbeamtray/standin/command"
)

func main() {
	os.Exit(command.Main(os.Args))
}
