package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	workSlots = 4
	workTime  = 200 * time.Millisecond
)

// worker is a server that works on workSlots requests at a time, each for workTime, and
// queues the others.
type worker struct {
	slots chan struct{}
}

func (s *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	if wait(r.Context(), workTime) != nil {
		return
	}
	w.Header().Set("Server-Stamp", "x")
	_, _ = io.WriteString(w, "done")
}

// workload is a service of two workers with two routes, whose callers all have the same time.
type workload struct {
	name     string
	timeouts [2]int // of the routes, in ms
	goals    [2]int // of the routes, in ms
}

// configureWorkloads publishes the workloads and starts their workers.
func (w *world) configureWorkloads(t *testing.T, loads []workload) {
	var routes, services []any
	for n, load := range loads {
		services = append(services, map[string]any{"name": load.name})
		for i := range 2 {
			prefix := fmt.Sprintf("/%s%d/", load.name, i)
			routes = append(routes, map[string]any{
				"name": prefix, "host": "soak.example", "path_prefix": prefix, "kind": "non_idempotent", "service": load.name, "public": true,
				"timeout_ms": load.timeouts[i], "latency_goal_ms": load.goals[i], "max_attempts": 1,
			})
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.ip(4, 100+n), 7200+i))
			must(t, err)
			serving := &http.Server{Handler: &worker{make(chan struct{}, workSlots)}}
			go func() { _ = serving.Serve(listener) }()
			t.Cleanup(func() { _ = serving.Close() })
			w.store.put(fmt.Sprintf("servers/%s-%d", load.name, i), map[string]any{
				"service": load.name, "address": listener.Addr().String(), "zone": fmt.Sprint("z", i), "slots": workSlots, "state": "ready", "born": time.Now().UnixMilli(),
			})
		}
	}
	w.store.put("op/config", map[string]any{"version": 100, "routes": routes, "services": services})
	time.Sleep(time.Second)
}

// answered is what a caller of a workload heard.
type answered struct {
	route  int
	status int
	again  bool // it was told when to return
	took   time.Duration
}

// callWork sends a request with a time left to a workload and returns what the caller heard.
func (w *world) callWork(load workload, route, number int, left time.Duration) answered {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), left+time.Second)
	defer cancel()
	g := w.gateways[number%len(w.gateways)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s%d/x", g.address, load.name, route), strings.NewReader("x"))
	if err != nil {
		panic(err)
	}
	request.Host = "soak.example"
	request.Header.Set("Request-Id", fmt.Sprintf("%s-%d-%d", load.name, route, number))
	request.Header.Set("Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answered{route: route, took: time.Since(start)}
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return answered{route, response.StatusCode, response.Header.Get("Retry-After") != "", time.Since(start)}
}

// callAll calls a workload count times, evenly within a span, the routes in turn.
func (w *world) callAll(load workload, count int, span, left time.Duration) []answered {
	var calling sync.WaitGroup
	list := make([]answered, count)
	start := time.Now()
	for i := range count {
		time.Sleep(time.Until(start.Add(time.Duration(i) * span / time.Duration(count))))
		calling.Go(func() { list[i] = w.callWork(load, (i/len(w.gateways))%2, i, left) })
	}
	calling.Wait()
	return list
}

// TestCallersWithEqualTimeAreAlike guards against waits and refusals that follow from something
// else than the time that a caller has: real gateways get twice the load that their targets
// bear, from callers who all have 2 s, half of them on each of two routes. Callers at once who
// all have the time to wait are all served.
func TestCallersWithEqualTimeAreAlike(t *testing.T) {
	loads := []workload{
		{"same", [2]int{2000, 2000}, [2]int{1500, 1500}},
		{"timeout", [2]int{3000, 2000}, [2]int{1500, 1500}},
		{"goal", [2]int{2000, 2000}, [2]int{60, 1500}},
		{"burst", [2]int{4000, 4000}, [2]int{400, 400}},
	}
	w := newWorld(t, firstNetwork+int(worldCount.Add(1)%networkCount), rand.New(rand.NewPCG(43, 2)))
	w.configureWorkloads(t, loads)
	var playing sync.WaitGroup
	for _, load := range loads {
		playing.Go(func() {
			if load.name == "burst" {
				checkBurst(t, w.callAll(load, 64, 0, 4*time.Second))
				return
			}
			checkAlike(t, load, w.callAll(load, 640, 8*time.Second, 2*time.Second))
		})
	}
	playing.Wait()
}

func checkBurst(t *testing.T, list []answered) {
	served, last := 0, time.Duration(0)
	for _, a := range list {
		if a.status == http.StatusOK {
			served++
		}
		last = max(last, a.took)
	}
	t.Logf("burst: %d of %d served, the last answer after %s", served, len(list), last)
	if served < len(list) {
		t.Errorf("of %d callers at once with the time to wait %d were served, want all", len(list), served)
	}
}

func checkAlike(t *testing.T, load workload, list []answered) {
	var served, all [2]int
	var refusedAfter []time.Duration
	for _, a := range list {
		all[a.route]++
		switch a.status {
		case http.StatusOK:
			served[a.route]++
		case http.StatusServiceUnavailable:
			refusedAfter = append(refusedAfter, a.took)
		}
	}
	slices.Sort(refusedAfter)
	shares := [2]float64{float64(served[0]) / float64(all[0]), float64(served[1]) / float64(all[1])}
	middle := refusedAfter[len(refusedAfter)/2]
	t.Logf("%s: %.2f and %.2f served, refused after %s (median)", load.name, shares[0], shares[1], middle)
	if difference := shares[0] - shares[1]; difference > 0.15 || difference < -0.15 {
		t.Errorf("%s: of callers with equal time %.2f were served on one route and %.2f on the other", load.name, shares[0], shares[1])
	}
	if shares[0]+shares[1] < 0.8 {
		t.Errorf("%s: %.2f and %.2f served, want nearly half, which the targets bear", load.name, shares[0], shares[1])
	}
	if middle > 100*time.Millisecond {
		t.Errorf("%s: the median refusal came after %s, want it at once", load.name, middle)
	}
}
