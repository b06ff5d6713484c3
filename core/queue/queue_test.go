package queue_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamtray/core/queue"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func all(queue.Entry) bool { return true }

// arrival is a request that arrives in a queue.
type arrival struct {
	name    string
	rank    int
	account string
}

// next returns the place that nothing precedes.
func next(q queue.Queue, places map[string]queue.Place, accounts map[string]string) string {
	for name, p := range places {
		if q.Ahead(p, accounts[name], all) == 0 {
			return name
		}
	}
	return ""
}

// TestOrder checks in which order requests get places.
func TestOrder(t *testing.T) {
	tests := []struct {
		name     string
		arrivals []arrival
		want     string
	}{
		{"by arrival", []arrival{{"a", 1, ""}, {"b", 1, ""}, {"c", 1, ""}}, "abc"},
		{"by rank", []arrival{{"a", 2, ""}, {"b", 1, ""}, {"c", 0, ""}}, "cba"},
		{"accounts take turns", []arrival{{"a", 1, "x"}, {"b", 1, "x"}, {"c", 1, "x"}, {"d", 1, "y"}, {"e", 1, "z"}}, "adebc"},
		{"one in four places for lower ranks", []arrival{{"a", 0, ""}, {"b", 0, ""}, {"c", 0, ""}, {"d", 0, ""}, {"e", 0, ""}, {"f", 5, ""}, {"g", 2, ""}}, "abcfdeg"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q, places, accounts := queue.New(), map[string]queue.Place{}, map[string]string{}
			for i, a := range tt.arrivals {
				accounts[a.name] = a.account
				q, places[a.name] = q.With("s", a.rank, queue.Entry{Account: a.account, Arrived: at(i)})
			}
			got := ""
			for len(places) > 0 {
				name := next(q, places, accounts)
				q = q.WithTaken(places[name], accounts[name])
				delete(places, name)
				got += name
			}
			if got != tt.want {
				t.Errorf("order is %s, want %s", got, tt.want)
			}
		})
	}
}

// TestNothingIsGainedByComingBack checks that an account whose requests leave the queue and
// come back, as often as it likes, gets no place before it would have had one.
func TestNothingIsGainedByComingBack(t *testing.T) {
	q := queue.New()
	q, patient := q.With("s", 1, queue.Entry{Account: "patient", Arrived: at(0)})
	q, restless := q.With("s", 1, queue.Entry{Account: "restless", Arrived: at(1)})
	for ms := range 100 {
		q = q.Without(restless)
		q, restless = q.With("s", 1, queue.Entry{Account: "restless", Arrived: at(2 + ms)})
		if q.Ahead(patient, "patient", all) != 0 || q.Ahead(restless, "restless", all) != 1 {
			t.Fatalf("after %d returns %d requests precede the patient one and %d the restless one, want 0 and 1", ms+1, q.Ahead(patient, "patient", all), q.Ahead(restless, "restless", all))
		}
	}
}

// TestAnyOrderIsTotal plays random arrivals, departures and places, and checks that just one
// waiting request is next, that none is preceded by more than wait, that a service's queue
// depends on no other, and that of two requests of an account in a rank the earlier comes first.
func TestAnyOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type waiting struct {
			arrival
			place   queue.Place
			service string
			number  int
		}
		q := queue.New()
		var list []waiting
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			service := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")
			if len(list) > 0 && rapid.IntRange(0, 2).Draw(t, "event") == 0 {
				n := rapid.IntRange(0, len(list)-1).Draw(t, "which")
				if rapid.Bool().Draw(t, "leaves") {
					q = q.Without(list[n].place)
				} else {
					q = q.WithTaken(list[n].place, list[n].account)
				}
				list = append(list[:n], list[n+1:]...)
			} else {
				w := waiting{arrival: arrival{rank: rapid.IntRange(0, 2).Draw(t, "rank"), account: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account")}, service: service, number: i}
				q, w.place = q.With(service, w.rank, queue.Entry{Account: w.account, Arrived: at(i)})
				list = append(list, w)
			}
			if q.Len() != len(list) {
				t.Fatalf("%d requests wait, want %d", q.Len(), len(list))
			}
			for _, service := range []string{"s", "t"} {
				seen := map[int]bool{}
				for _, w := range list {
					if w.service != service {
						continue
					}
					ahead := q.Ahead(w.place, w.account, all)
					if seen[ahead] || ahead >= len(list) {
						t.Fatalf("%d requests precede one, as many as another or more than wait", ahead)
					}
					seen[ahead] = true
					for _, other := range list {
						if other.service == service && other.rank == w.rank && other.account == w.account && other.number < w.number && q.Ahead(other.place, other.account, all) > ahead {
							t.Fatal("a later request of an account comes before an earlier one of the same rank")
						}
					}
				}
			}
		}
	})
}
