package peers_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
	"hornbeamtray/gateway/follow"
	"hornbeamtray/gateway/peers"
)

type gateway struct {
	name    string
	service *service
	mirror  *follow.Mirror
	inbox   *follow.Inbox
	peers   *peers.Peers
	address string
	stop    func() // may be called several times
}

// startGateway starts a gateway with one reachable seed, or with none if seed
// is empty.
func startGateway(t *testing.T, name, seed string) gateway {
	t.Helper()
	return startGatewayAt(t, "127.0.0.1:0", name, seed)
}

// startGatewayAt starts a gateway that listens on an address.
func startGatewayAt(t *testing.T, address, name, seed string) gateway {
	t.Helper()
	return startDecodingGateway(t, address, name, seed, decode)
}

// startDecodingGateway starts a gateway that listens on an address, with a decoder of its own.
func startDecodingGateway(t *testing.T, address, name, seed string, decode follow.Decode) gateway {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	state := dispatch.New(name, "d", dispatch.Bounds{}).WithUpdate(dispatch.Update{
		Targets: []roster.Target{{ID: "a", Service: "s", Slots: 4, Revision: 1}, {ID: "b", Service: "s", Slots: 4, Revision: 2}},
	}, time.Now())
	g := gateway{name: name, service: &service{state: state, sent: make(chan struct{})}, mirror: follow.NewMirror(), address: listener.Addr().String()}
	g.inbox = follow.NewInbox(g.mirror, g.service, decode, time.Now)
	client := wire.NewClient()
	seeds := func() []string {
		if seed == "" {
			return nil
		}
		return []string{seed, "127.0.0.1:1"} // the second seed is unreachable
	}
	g.peers = peers.New(name, g.address, seeds, client, g.service, g.inbox, time.Now)
	server := wire.NewHandlersServer(listener, g.peers.Handlers())
	g.stop = sync.OnceFunc(func() {
		_ = server.Close()
		_ = g.peers.Close()
		_ = client.Close()
	})
	t.Cleanup(g.stop)
	return g
}
