package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns an exit code, and an error if it couldn't run.
var cases = map[string]func(*World) (int, error){
	"reset":   caseReset,
	"late":    caseLate,
	"restart": caseRestart,
	"spot":    caseSpot,
	"joined":  caseJoined,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE ROOT FOLDER")
		os.Exit(cannotRun)
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		w.Close()
		os.Exit(cannotRun)
	}()
	code, err := cases[os.Args[1]](w)
	if err != nil {
		w.Log("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = cannotRun
	}
	w.Log("exit code %d", code)
	w.Close()
	os.Exit(code)
}
