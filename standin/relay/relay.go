// Package relay simulates a network between processes for tests: a TCP proxy that
// can block connections by source IP.
package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"
)

const allSources = "all"

// Relay is a TCP proxy to one destination.
type Relay struct {
	tomb        tomb.Tomb
	listener    net.Listener
	destination string

	mu         sync.Mutex
	cutSources map[string]bool   // guarded by mu; source IPs, or allSources
	links      map[*link]string  // guarded by mu; source IP of each open link
	blocked    map[net.Conn]bool // guarded by mu; open connections from sources that were cut when they connected
}

// New starts a relay that forwards connections to listen to the address to.
func New(listen, to string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Relay{listener: listener, destination: to, cutSources: map[string]bool{}, links: map[*link]string{}, blocked: map[net.Conn]bool{}}
	r.tomb.Go(r.run)
	return r, nil
}

// Close closes the listener and all links, and waits for the goroutines to end.
func (r *Relay) Close() error {
	r.tomb.Kill(nil)
	_ = r.listener.Close()
	r.cut(allSources)
	return r.tomb.Wait()
}

// Handler returns the HTTP handler for the commands cut and heal.
func (r *Relay) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Put("/cut/:source"), func(w http.ResponseWriter, q *http.Request) {
		r.cut(pat.Param(q, "source"))
		fmt.Fprintln(w, "cut")
	})
	mux.HandleFunc(pat.Put("/heal"), func(w http.ResponseWriter, _ *http.Request) {
		r.heal()
		fmt.Fprintln(w, "healed")
	})
	return mux
}

func (r *Relay) run() error {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return nil
		}
		r.accept(conn)
	}
}

// accept forwards conn to the destination. If the source is cut, accept keeps conn
// open without reading it, as if the network dropped all packets.
func (r *Relay) accept(conn net.Conn) {
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutSources[source] || r.cutSources[allSources] {
		r.blocked[conn] = true
		return
	}
	server, err := net.Dial("tcp", r.destination)
	if err != nil {
		_ = conn.Close()
		return
	}
	l := &link{relay: r, client: conn, server: server}
	r.links[l] = source
	r.tomb.Go(l.copyToServer)
	r.tomb.Go(l.copyToClient)
}

// cut closes the links of source, an IP or allSources, and blocks its new connections
// until heal.
func (r *Relay) cut(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutSources[source] = true
	for l, from := range r.links {
		if source == allSources || from == source {
			l.close()
		}
	}
}

// heal accepts connections of all sources again and closes the blocked ones.
func (r *Relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutSources = map[string]bool{}
	for conn := range r.blocked {
		_ = conn.Close()
	}
	r.blocked = map[net.Conn]bool{}
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// link is a forwarded connection.
type link struct {
	relay          *Relay
	client, server net.Conn
}

func (l *link) copyToServer() error {
	defer l.relay.remove(l)
	defer l.close()
	_, _ = io.Copy(l.server, l.client)
	return nil
}

func (l *link) copyToClient() error {
	defer l.close()
	_, _ = io.Copy(l.client, l.server)
	return nil
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}
