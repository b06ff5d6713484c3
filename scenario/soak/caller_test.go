package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	deadline    = 1500 * time.Millisecond // in the Deadline-Ms of each request
	callTimeout = deadline + time.Second  // from sending a request until the caller gives up
)

// caller sends requests one after another to randomly chosen gateways.
type caller struct {
	world *world
	rng   *rand.Rand
	http  *http.Client
	count int
	name  string
}

func newCaller(w *world, name string, seed uint64) *caller {
	return &caller{world: w, name: name, rng: rand.New(rand.NewPCG(seed, 3)), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.call(c.world.gateways[c.rng.IntN(len(c.world.gateways))])
		_ = wait(ctx, time.Duration(c.rng.IntN(20))*time.Millisecond)
	}
}

// call sends one request through g and checks the outcome.
func (c *caller) call(g *gateway) {
	c.count++
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	tenant, key := c.world.pickTenant(c.rng)
	path := []string{"/once/x", "/again/x", "/flow/x"}[c.rng.IntN(3)]
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address+path, io.NopCloser(strings.NewReader("body")))
	if err != nil {
		panic(err)
	}
	request.ContentLength = 4
	request.Host = "soak.example"
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Authorization": "Token " + key} {
		request.Header.Set(name, value)
	}
	parts := "first:40,"
	if c.world.crashRecord.active() && path == "/flow/x" && c.rng.IntN(5) == 0 {
		parts += crashingPart + ":300,"
	}
	request.Header.Set("Prompt-Prefix", parts+id+":7")
	c.world.ledger.recordSent(id, tenant, path == "/once/x")
	sent := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		c.checkError(g, id, sent, err)
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.checkError(g, id, sent, err)
		return
	}
	c.check(id, tenant, path, response, string(text))
}

// checkError records a request that got no complete answer, and reports a
// violation if it timed out at a gateway that had no fault.
func (c *caller) checkError(g *gateway, id string, sent time.Time, err error) {
	c.world.ledger.recordOutcome(id, false, false)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && g.undisturbed(sent) {
		c.world.ledger.addViolation("SILENCE: request %s got no answer from %s in time: %v", id, g.name, err)
	}
}

// check records the outcome of an answered request and checks the status, the
// header and the body.
func (c *caller) check(id, tenant, path string, response *http.Response, text string) {
	ledger := c.world.ledger
	switch code := response.StatusCode; code {
	case http.StatusOK:
		ledger.recordOutcome(id, false, true)
		whole := text == answerTo(id, tenant)
		if path == "/flow/x" {
			whole = wholeStream(id, text)
		}
		if !whole || response.Header.Get("Server-Stamp") == "" || response.Header.Get("Request-Id") != id {
			ledger.addViolation("MIXED: request %s got the wrong answer %q with header %v", id, text, response.Header)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		ledger.recordOutcome(id, true, false)
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		ledger.recordOutcome(id, false, false)
	case http.StatusUnauthorized:
		ledger.recordOutcome(id, true, false)
		if !c.world.mayBeUnauthorized(tenant) {
			ledger.addViolation("DENIED: request %s of tenant %s got status 401: %s", id, tenant, text)
		}
	default:
		ledger.recordOutcome(id, false, false)
		ledger.addViolation("DENIED: request %s got unexpected status %d: %s", id, code, text)
	}
}

// wholeStream reports whether text holds each event of the stream once, in order.
func wholeStream(id, text string) bool {
	want := 0
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			want++
			if data != fmt.Sprintf("%s-%d", id, want) {
				return false
			}
		}
	}
	return want == eventsPerStream
}
