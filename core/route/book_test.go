package route_test

import (
	"testing"
	"time"

	"hornbeamtray/core/route"
)

func testBook() route.Book {
	return route.NewBook(7,
		route.WithRoutes(
			route.Route{Name: "short", Host: "a.example", Prefix: "/x/", Shares: []route.Share{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}},
			route.Route{Name: "long", Host: "a.example", Prefix: "/x/y/", Shares: []route.Share{{Service: "one", Weight: 1}}},
			route.Route{Name: "other", Host: "b.example", Prefix: "/", Shares: []route.Share{{Service: "two", Weight: 1}}},
		),
		route.WithAccount(route.Account{Name: "acme", Priority: 2, HasPriority: true}, "k1", "k2"),
	)
}

func TestRoute(t *testing.T) {
	tests := []struct {
		name, host, path, want string
	}{
		{"prefix", "a.example", "/x/z", "short"},
		{"longest prefix", "a.example", "/x/y/z", "long"},
		{"host in other case", "A.Example", "/x/", "short"},
		{"prefix ends with a slash", "a.example", "/xy", ""},
		{"other host", "b.example", "/anything", "other"},
		{"unknown host", "c.example", "/x/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, found := testBook().Route(tt.host, tt.path); got.Name != tt.want || found != (tt.want != "") {
				t.Errorf("route = %q, found = %t, want %q", got.Name, found, tt.want)
			}
		})
	}
}

func TestSplit(t *testing.T) {
	r, _ := testBook().Route("a.example", "/x/")
	tests := []struct {
		draw float64
		want string
	}{{0, "one"}, {0.899, "one"}, {0.901, "two"}, {0.999, "two"}}
	for _, tt := range tests {
		if got := r.Service(tt.draw); got != tt.want {
			t.Errorf("Service(%v) = %s, want %s", tt.draw, got, tt.want)
		}
	}
}

func TestNewer(t *testing.T) {
	older, newer := route.NewBook(3), route.NewBook(9)
	tests := []struct {
		name            string
		before, offered route.Book
		want            uint64
	}{
		{"newer", older, newer, 9},
		{"older", newer, older, 9},
		{"same", newer, route.NewBook(9), 9},
	}
	for _, tt := range tests {
		if got := tt.before.Newer(tt.offered).Version; got != tt.want {
			t.Errorf("%s: version = %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestAccount(t *testing.T) {
	for _, tt := range []struct {
		key, want string
	}{{"k1", "acme"}, {"k2", "acme"}, {"k3", ""}, {"", ""}} {
		if got, _ := testBook().Account(tt.key); got.Name != tt.want {
			t.Errorf("account of key %q = %q, want %q", tt.key, got.Name, tt.want)
		}
	}
}

func TestPatience(t *testing.T) {
	for _, tt := range []struct {
		name                 string
		latencyGoal, gapGoal time.Duration
		want                 time.Duration
	}{
		{"least", 400 * time.Millisecond, 120 * time.Millisecond, 2 * time.Second},
		{"slow goal", time.Second, 120 * time.Millisecond, 4 * time.Second},
		{"long pause", 400 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second},
		{"none stated", 0, 0, 2 * time.Second},
	} {
		if got := (route.Route{Objective: tt.latencyGoal, GapObjective: tt.gapGoal}).EventTimeout(); got != tt.want {
			t.Errorf("%s: EventTimeout = %s, want %s", tt.name, got, tt.want)
		}
	}
}
