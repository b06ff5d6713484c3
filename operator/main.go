// Command tray checks and prints configurations, shows the state of instances and
// sends test requests.
package main

import (
	"os"

	"hornbeamtray/operator/command"
)

func main() {
	os.Exit(command.Main(os.Args))
}
