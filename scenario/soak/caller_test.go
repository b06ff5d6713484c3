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
	deadline = 1500 * time.Millisecond
	patience = deadline + time.Second // a caller that hears nothing for so long hears silence
)

// caller sends requests one after another.
type caller struct {
	world *world
	luck  *rand.Rand
	http  *http.Client
	count int
	name  string
}

func newCaller(w *world, name string, seed uint64) *caller {
	return &caller{world: w, name: name, luck: rand.New(rand.NewPCG(seed, 3)), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.call(c.world.gateways[c.luck.IntN(len(c.world.gateways))])
		_ = wait(ctx, time.Duration(c.luck.IntN(20))*time.Millisecond)
	}
}

// call sends one request and checks its end.
func (c *caller) call(g *gateway) {
	c.count++
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	tenant, key := c.world.tenant(c.luck)
	path := []string{"/once/x", "/again/x", "/flow/x"}[c.luck.IntN(3)]
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
	c.world.ledger.sent(id, tenant, path == "/once/x")
	sent := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		c.failed(g, id, sent, err)
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.failed(g, id, sent, err)
		return
	}
	c.check(id, tenant, path, response, string(text))
}

// failed checks a request that ended without an answer.
func (c *caller) failed(g *gateway, id string, sent time.Time, err error) {
	c.world.ledger.told(id, false, false)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && g.undisturbed(sent) {
		c.world.ledger.breaks("SILENCE: %s hears nothing from %s: %v", id, g.name, err)
	}
}

func (c *caller) check(id, tenant, path string, response *http.Response, text string) {
	ledger := c.world.ledger
	switch code := response.StatusCode; code {
	case http.StatusOK:
		ledger.told(id, false, true)
		whole := text == answerTo(id, tenant)
		if path == "/flow/x" {
			whole = wholeStream(id, text)
		}
		if !whole || response.Header.Get("Server-Stamp") == "" || response.Header.Get("Request-Id") != id {
			ledger.breaks("MIXED: %s is answered %q with %v", id, text, response.Header)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		ledger.told(id, true, false)
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		ledger.told(id, false, false)
	case http.StatusUnauthorized:
		ledger.told(id, true, false)
		if !c.world.mayBeTaken(tenant) {
			ledger.breaks("DENIED: %s of %s is answered 401: %s", id, tenant, text)
		}
	default:
		ledger.told(id, false, false)
		ledger.breaks("DENIED: %s is answered %d: %s", id, code, text)
	}
}

// wholeStream reports whether a stream has each event once, in order.
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
	return want == events
}
