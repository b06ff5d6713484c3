package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	restartRounds   = 5
	restartGateways = 7
	restartServers  = 5
	restartAnswer   = 2000 // bytes of a whole answer
	restartWork     = 800 * time.Millisecond
	restartCut      = 2 * time.Second        // of the path between a server and two gateways
	restartCrashAt  = 500 * time.Millisecond // after the request came
	restartDown     = time.Second            // until the server that crashed is back
	restartDeadline = 3 * time.Second
)

// caseRestart cuts the path between a server and some gateways. The server crashes behind the cut
// and starts again.
func caseRestart(w *World) (int, error) {
	store, err := NewStore(w.IP())
	if err != nil {
		return 0, err
	}
	store.Put("op/config", configuration(3, map[string]any{
		"path_prefix": "/puxa403/", "kind": "non_idempotent", "max_attempts": 1, "timeout_ms": 3000, "latency_goal_ms": 300,
	}, nil))
	var servers []*serverProcess
	defer func() {
		for _, s := range servers {
			s.kill()
		}
	}()
	for i := range restartServers {
		address, err := Free(w.IP())
		if err != nil {
			return 0, err
		}
		path, err := NewProxy(w.IP(), address)
		if err != nil {
			return 0, err
		}
		s := &serverProcess{world: w, id: fmt.Sprintf("i-%04x", 0x7f3a+i), address: address, path: path, runs: make(chan string, 100)}
		if err := s.start(store); err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	gateways, err := w.StartGateways(store, restartGateways)
	if err != nil {
		return 0, err
	}
	truncated, whole, failed := 0, 0, 0
	for round := range restartRounds {
		g := gateways[round%len(gateways)]
		r := Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Method: http.MethodPost, Path: "/puxa403/2f", Deadline: restartDeadline}
		answers := make(chan Answer, 1)
		w.Log("client sends %s to %s", r.ID, g.name)
		go func() { answers <- Send(g.Front, r) }()
		s, found := running(servers)
		if !found {
			return 0, fmt.Errorf("no server got the request")
		}
		if w.Trouble {
			time.Sleep(100 * time.Millisecond)
			w.Log("the path between server %s and %s and another gateway is cut", s.id, g.name)
			s.path.Cut(g.ip, gateways[(round+1)%len(gateways)].ip)
			time.Sleep(restartCrashAt - 100*time.Millisecond)
			s.kill()
			time.Sleep(restartDown)
			if err := s.start(store); err != nil {
				return 0, err
			}
			time.Sleep(restartCut - restartDown - restartCrashAt + 100*time.Millisecond)
			w.Log("the path is whole again")
			s.path.Cut()
		}
		a := <-answers
		switch success := a.Complete && a.Status == http.StatusOK; {
		case success && len(a.Body) == restartAnswer:
			whole++
			w.Log("client got the whole answer to %s", r.ID)
		case success:
			truncated++
			w.Log("BROKEN: client got a success for %s without the server's whole body: %s", r.ID, a)
		default:
			failed++
			w.Log("client got %s for %s", a, r.ID)
		}
		time.Sleep(6 * time.Second)
	}
	w.Log("%d requests: %d whole, %d failures, %d successes that aren't whole", restartRounds, whole, failed, truncated)
	if truncated > 0 {
		return broken, nil
	}
	if !w.Trouble && whole != restartRounds {
		return 0, fmt.Errorf("only %d of %d requests were answered", whole, restartRounds)
	}
	return held, nil
}
