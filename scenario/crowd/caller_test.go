package crowd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	callerHost     = 200              // host number of the ordinary callers
	attempts       = 30               // of an ordinary caller
	attemptTimeout = 5 * time.Second  // of one attempt
	callTimeout    = 30 * time.Second // of all attempts
	retryPause     = 500 * time.Millisecond
)

// call is the request of an ordinary caller.
type call struct {
	method, url, host, body string
	header                  map[string]string
}

// send sends the request until it gets a complete answer with status 200, as callers do
// after 503 or a closed connection.
func (c call) send(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip(callerHost))}}
	client := &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	var failures []error
	for n := range attempts {
		err := c.sendOnce(ctx, client, n)
		if err == nil {
			return nil
		}
		failures = append(failures, err)
		if ctx.Err() != nil {
			break
		}
		pause(ctx, retryPause)
	}
	return fmt.Errorf("%d attempts failed, first with %w, last with %w", len(failures), failures[0], failures[len(failures)-1])
}

func (c call) sendOnce(ctx context.Context, client *http.Client, n int) error {
	request, err := http.NewRequestWithContext(ctx, c.method, c.url, strings.NewReader(c.body))
	if err != nil {
		return err
	}
	request.Host = c.host
	request.Header.Set("Request-Id", fmt.Sprintf("ordinary-%d-%d", time.Now().UnixNano(), n))
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.New(response.Status + ": " + string(text))
	}
	return err
}

// checkCalls checks that each of the requests of ordinary callers is answered.
func checkCalls(t *testing.T, when string, calls []call) {
	t.Helper()
	var calling sync.WaitGroup
	for _, c := range calls {
		calling.Go(func() {
			start := time.Now()
			if err := c.send(t.Context()); err != nil {
				t.Errorf("%s, %s %s got no complete answer in %s: %v", when, c.method, c.url, time.Since(start).Round(time.Second), err)
			}
		})
	}
	calling.Wait()
}

// site is a running program that crowds come to, and the requests of ordinary callers
// that depend on it.
type site struct {
	process *process
	door    door
	calls   []call
}

// siteMaker starts a site whose process may have a number of descriptors, or those of its
// smallest machine if the number is 0.
type siteMaker func(t *testing.T, files int) site

// runCrowd checks what a process takes and whether ordinary callers are served, while a
// crowd is connected and after it has left.
func runCrowd(t *testing.T, start siteMaker, c crowdCase) {
	s := start(t, c.files)
	for _, ordinary := range s.calls {
		if err := ordinary.send(t.Context()); err != nil {
			t.Fatalf("before the crowd, %s %s got no complete answer: %v", ordinary.method, ordinary.url, err)
		}
	}
	w := newCrowd(t, s.process, c, s.door)
	checkCalls(t, "beside the crowd", s.calls)
	if s.process.abandoned() {
		t.Errorf("the crowd had to leave early: %s ended or took over %d bytes of memory", s.process.name, abandonedMemory)
	} else if w.ctx.Err() != nil {
		t.Errorf("the other callers' requests took longer than the crowd's stay of %s", stayTime)
	}
	_ = w.Close()
	checkCalls(t, "after the crowd", s.calls)
	t.Logf("%d connections of the crowd were closed by the process", w.closed.Load())
	s.process.check(t)
}
