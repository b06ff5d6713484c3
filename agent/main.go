// Command agent runs beside a target and runs the requests of entry instances on it.
package main

import (
	"os"

	"hornbeamtray/agent/command"
)

func main() {
	os.Exit(command.Main(os.Args))
}
