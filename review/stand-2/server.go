package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Streams of a server in a process of its own.
const (
	streamEvents = 28
	streamGap    = 100 * time.Millisecond
)

// runServer is a server in a process of its own: its arguments are its ID and its address. Its
// answers have no length and end with their connections.
func runServer(arguments []string) {
	id, address := arguments[0], arguments[1]
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println("error", err)
		os.Exit(cannotRun)
	}
	fmt.Println("listening")
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serveSlowly(conn, id)
	}
}

// serveSlowly answers one request: half of the answer at once, the rest after some work.
func serveSlowly(conn net.Conn, id string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	name := request.Header.Get("Request-Id")
	if request.Header.Get("Expect-Instance") != id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", name, id)
		return
	}
	fmt.Println("runs", name)
	if strings.HasPrefix(request.URL.Path, "/lohu930/") {
		serveStream(conn, name)
		return
	}
	half := bytes.Repeat([]byte("0123456789"), restartAnswer/20)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", name, name)
	_, _ = conn.Write(half)
	time.Sleep(restartWork)
	_, _ = conn.Write(half)
	fmt.Println("completed", name)
}

// serveStream answers with a stream of events.
func serveStream(conn net.Conn, name string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", name, name)
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(conn, "id: %d\ndata: piece %d of %d\n\n", n, n, streamEvents)
		time.Sleep(streamGap)
	}
	fmt.Println("completed", name)
}

// serverProcess is a server in a process of its own.
type serverProcess struct {
	world   *World
	id      string
	address string
	path    *Proxy // from the gateways, or nil for none
	cmd     *exec.Cmd
	born    int64       // start of its process in Unix milliseconds
	runs    chan string // requests that it began to run
}

// start starts the server, which writes its entry to the store.
func (s *serverProcess) start(store *Store) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	s.cmd = exec.Command(self, "server", s.id, s.address)
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() || lines.Text() != "listening" {
		return fmt.Errorf("the server %s didn't start: %s", s.id, lines.Text())
	}
	go func() {
		for lines.Scan() {
			s.world.Log("server %s %s", s.id, lines.Text())
			if id, found := strings.CutPrefix(lines.Text(), "runs "); found {
				s.runs <- id
			}
		}
	}()
	s.born = time.Now().UnixMilli()
	store.Put("servers/"+s.id, s.entry())
	s.world.Log("server %s listens on %s", s.id, s.address)
	return nil
}

// entry returns the server's entry in the store.
func (s *serverProcess) entry() map[string]any {
	address := s.address
	if s.path != nil {
		address = s.path.Address
	}
	return entry(address, 6, s.born)
}

// running returns the server that has begun to run a request.
func running(servers []*serverProcess) (found *serverProcess, ok bool) {
	ok = Until(2*time.Second, func() bool {
		for _, s := range servers {
			select {
			case <-s.runs:
				found = s
				return true
			default:
			}
		}
		return false
	})
	return found, ok
}

// kill ends the server's process at once.
func (s *serverProcess) kill() {
	if s.cmd.ProcessState != nil {
		return
	}
	s.world.Log("server %s is killed", s.id)
	_ = s.cmd.Process.Signal(syscall.SIGKILL)
	_ = s.cmd.Wait()
}
