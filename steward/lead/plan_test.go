package lead

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// planEvents keeps the values of the last plan event.
type planEvents struct {
	discard
	mu     sync.Mutex
	values map[string]any // guarded by mu
}

func (p *planEvents) Event(kind string, values ...any) {
	if kind != "plan" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values = map[string]any{}
	for i := 0; i < len(values); i += 2 {
		p.values[values[i].(string)] = values[i+1]
	}
}

// TestPlanEvent guards against plan events that don't show how long a switch copies: they must
// state the copies in all, and those of the rank that the switch waits for.
func TestPlanEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, journal := newGroup(make([]uint64, 4)), &planEvents{}
		go g.run([]uint64{60, 5, 5, 60})
		l := New(view{g, 0}, fixedShape{}, discard{}, journal, time.Now)
		time.Sleep(5 * time.Second)
		_ = l.Close()
		close(g.stopped)
		copies, _ := journal.values["copies"].(int)
		fullest, _ := journal.values["fullest"].(int)
		if fullest < 1 || fullest > shape.MaxNewExperts || copies < fullest || copies > 3*fullest {
			t.Errorf("plan event has the values %v; want the copies and those of the fullest of 3 ranks", journal.values)
		}
	})
}
