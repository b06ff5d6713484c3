package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	lateRanks  = 12
	lateCycles = 1
	lateDown   = 5 * time.Second // how long the steward that is killed is down
	lateFor    = 6 * time.Second // how long some orders get no answer
)

// caseLate lets a group be idle between requests while its servers carry orders out late and the
// process beside the rank that holds passes is killed.
func caseLate(w *World) (int, error) {
	store, err := NewStore(w.IP())
	if err != nil {
		return 0, err
	}
	g, err := NewGroup(w, lateRanks)
	if err != nil {
		return 0, err
	}
	store.Put("op/config", configuration(3, map[string]any{"path_prefix": "/lohu930/", "kind": "stream"}, map[string]any{
		"slots": 12, "sets": sets, "experts": experts, "placements": placements, "spare": spare, "report_lag_ms": 200,
	}))
	var stewards []*Process
	for _, r := range g.ranks {
		store.Put(fmt.Sprintf("servers/i-%04x", 0x7f3a+r.number), entry(r.address, 12, time.Now().UnixMilli()))
	}
	for _, r := range g.ranks {
		p, err := w.Start("steward", fmt.Sprintf("side-amman-a-%d", r.number+1), map[string]any{
			"node_name": fmt.Sprintf("side-amman-a-%d", r.number+1), "ip": r.ip, "internal_ports.0": 7340,
			"platform.address": store.Address, "app": r.address, "service": service,
		})
		if err != nil {
			return 0, err
		}
		stewards = append(stewards, p)
	}
	if !Until(20*time.Second, func() bool { return len(stewards[0].Lines(`"leading"`)) > 0 }) {
		return 0, fmt.Errorf("no steward leads")
	}
	for cycle := range lateCycles {
		g.mu.Lock()
		g.hot = nil
		for k := range 2 {
			g.hot = append(g.hot, (5*cycle+3)%lateRanks+k*lateRanks)
		}
		g.mu.Unlock()
		w.Log("cycle %d: other experts are in demand", cycle)
		busy := make(chan struct{})
		go func() {
			g.Ask(cycle%lateRanks, 14)
			close(busy)
		}()
		Until(3*time.Second, func() bool { return g.given("prepare") > 0 })
		if w.Trouble {
			stewards[1].Signal(syscall.SIGKILL)
			<-stewards[1].ended
			g.setTrouble(true)
		}
		begun, restarted := time.Now(), make(chan error, 1)
		go func() {
			time.Sleep(lateDown)
			if w.Trouble {
				restarted <- stewards[1].Restart()
			}
			restarted <- nil
		}()
		<-busy
		// The group is idle until a client comes while the pass of a later switch is held.
		Until(lateFor-time.Since(begun), g.heldAgain)
		g.Ask(5, 4)
		time.Sleep(lateFor - time.Since(begun))
		g.setTrouble(false)
		if err := <-restarted; err != nil {
			return 0, err
		}
		time.Sleep(14 * time.Second) // all late orders are carried out
		g.Ask(7, 3)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	w.Log("%d passes, %d of them began on different maps; %d orders, %d of them unanswered and carried out late", g.step, g.broken, g.orders, g.silent)
	if g.broken > 0 {
		return broken, nil
	}
	if g.orders == 0 {
		return 0, fmt.Errorf("no order was given")
	}
	return held, nil
}

// setTrouble begins or ends the time in which some orders get no answer.
func (g *Group) setTrouble(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trouble = on
	if on {
		g.unsaid = map[string]int{}
	}
}

// given returns how many orders of an operation were given.
func (g *Group) given(operation string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.operations[operation]
}

// heldAgain reports whether a pass is held after an earlier go order for the same pass got no answer.
func (g *Group) heldAgain() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lateGo != nil && g.ranks[1].Held == g.lateGo.Step && time.Since(g.lateAt) >= lateLeast
}
