// Command entry runs an entry instance, which serves the requests of callers.
package main

import (
	"os"

	"hornbeamtray/entry/command"
)

func main() {
	os.Exit(command.Main(os.Args))
}
