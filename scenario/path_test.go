package scenario

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"hornbeamtray/operator/caller"
)

// BenchmarkPath measures plain calls, one at a time: sent directly to the stand-in
// target, and through an entry instance and the target's agent.
func BenchmarkPath(b *testing.B) {
	s := newSite(b.TempDir())
	s.options["models"] = "0"
	if err := s.writeSettings(); err != nil {
		b.Fatal(err)
	}
	defer s.close()
	for _, name := range []string{"platform", "relay-platform"} {
		mustSpawn(b, s, name)
	}
	awaitOK(b, s.url(1, "7400")+"/reads")
	text, err := s.configurationText()
	if err != nil {
		b.Fatal(err)
	}
	mustPut(b, s.url(1, "7400")+"/v1/configuration", text)
	for _, name := range []string{"target-plain-0-0", "agent-plain-0-0", "entry-0-0"} {
		mustSpawn(b, s, name)
	}
	awaitOK(b, s.url(50, "7401")+"/ready")
	awaitOK(b, s.url(10, "7401")+"/ready")
	time.Sleep(2 * time.Second) // wait for the first reports
	tests := []struct{ name, url string }{
		{"direct", s.url(50, "7402") + "/status"},
		{"through, idempotent", s.url(10, "7400") + "/v1/services/orders/status"},
		{"through, at most once", s.url(10, "7400") + "/v1/services/orders/book"},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			for b.Loop() {
				answer, err := caller.Send(context.Background(), caller.Request{URL: tt.url, Key: "demo-key", Body: "{}"})
				if err != nil || answer.Status != http.StatusOK {
					b.Fatalf("%v %+v", err, answer)
				}
			}
		})
	}
}

func mustSpawn(b *testing.B, s *site, name string) {
	b.Helper()
	if err := s.spawn(name); err != nil {
		b.Fatal(err)
	}
}

func awaitOK(b *testing.B, url string) {
	b.Helper()
	for range 100 {
		if response, err := http.Get(url); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(pollInterval)
	}
	b.Fatalf("%s did not answer", url)
}

func mustPut(b *testing.B, url string, text []byte) {
	b.Helper()
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(text))
	if err != nil {
		b.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_ = response.Body.Close()
}
