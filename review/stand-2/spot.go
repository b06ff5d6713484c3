package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	spotRounds = 5
	spotNotice = 500 * time.Millisecond // from the request to the notice that the server will be gone
	spotGone   = 2 * time.Second        // from the notice until it is
)

// caseSpot takes a server away some time after it was told so, while it sends a stream without a length.
func caseSpot(w *World) (int, error) {
	store, err := NewStore(w.IP())
	if err != nil {
		return 0, err
	}
	store.Put("op/config", configuration(3, map[string]any{"path_prefix": "/lohu930/", "kind": "stream", "gap_goal_ms": 120, "resumable": false}, nil))
	var servers []*serverProcess
	defer func() {
		for _, s := range servers {
			s.kill()
		}
	}()
	add := func(i int) error {
		address, err := Free(w.IP())
		if err != nil {
			return err
		}
		s := &serverProcess{world: w, id: fmt.Sprintf("i-%04x", 0x7f3a+i), address: address, runs: make(chan string, 100)}
		if err := s.start(store); err != nil {
			return err
		}
		servers = append(servers, s)
		return nil
	}
	for i := range 7 {
		if err := add(i); err != nil {
			return 0, err
		}
	}
	gateways, err := w.StartGateways(store, 2)
	if err != nil {
		return 0, err
	}
	cut, whole, failed := 0, 0, 0
	for round := range spotRounds {
		g := gateways[round%len(gateways)]
		r := Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Method: http.MethodPost, Path: "/lohu930/2f", Deadline: 8 * time.Second}
		answers := make(chan Answer, 1)
		w.Log("client sends %s to %s", r.ID, g.name)
		go func() { answers <- Send(g.Front, r) }()
		s, found := running(servers)
		if !found {
			return 0, fmt.Errorf("no server got the request")
		}
		if w.Trouble {
			time.Sleep(spotNotice)
			w.Log("server %s is told that it will be gone in %s, and reports draining", s.id, spotGone)
			leaving := s.entry()
			leaving["state"] = "draining"
			store.Put("servers/"+s.id, leaving)
			time.Sleep(spotGone)
			s.kill()
			store.Remove("servers/" + s.id)
			w.Log("server %s has left: its entry is removed", s.id)
		}
		a := <-answers
		events := bytes.Count(a.Body, []byte("\n\n"))
		switch success := a.Complete && a.Status == http.StatusOK; {
		case success && events == streamEvents:
			whole++
			w.Log("client got the whole stream for %s", r.ID)
		case success:
			cut++
			w.Log("BROKEN: the stream for %s ended as complete after %d of %d pieces: %s", r.ID, events, streamEvents, a)
		default:
			failed++
			w.Log("client got %s with %d pieces for %s", a, events, r.ID)
		}
		if w.Trouble {
			time.Sleep(4*time.Second - spotGone)
			if err := add(10 + round); err != nil {
				return 0, err
			}
		}
		time.Sleep(2 * time.Second)
	}
	w.Log("%d streams: %d whole, %d broken off, %d that ended as complete before their last piece", spotRounds, whole, failed, cut)
	if cut > 0 {
		return broken, nil
	}
	if !w.Trouble && whole != spotRounds {
		return 0, fmt.Errorf("only %d of %d streams were whole", whole, spotRounds)
	}
	return held, nil
}
