package platform

import (
	"testing"
	"time"

	"hornbeamtray/adapter/upstream/upstreamtest"
)

// recorder is a reader that records the results of reads.
type recorder struct {
	versions chan uint64
	failures chan error
}

func (r recorder) received(version uint64, _ []byte) { r.versions <- version }
func (r recorder) unchanged()                        {}
func (r recorder) failed(err error)                  { r.failures <- err }

// TestBrokenPublications guards against bytes that are no response and are taken for a
// configuration that a peer or the platform published.
func TestBrokenPublications(t *testing.T) {
	const publication = "Tray-Version: 7\r\nContent-Length: 2\r\n\r\n{}"
	tests := []struct {
		name, text string
		valid      bool
	}{
		{"a response", "HTTP/1.1 200 OK\r\n" + publication, true},
		{"status 000", "HTTP/1.1 000 OK\r\n" + publication, false},
		{"a later version", "HTTP/2.0 200 OK\r\n" + publication, false},
		{"a blank within a name", "HTTP/1.1 200 OK\r\nX Other: y\r\n" + publication, false},
		{"a blank before a name", "HTTP/1.1 200 OK\r\nX: y\r\n X-Other: y\r\n" + publication, false},
		{"a blank after the name of the length", "HTTP/1.1 200 OK\r\nTray-Version: 7\r\nContent-Length : 2\r\n\r\n{}, more", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := upstreamtest.NewServer(t, upstreamtest.Text(tt.text))
			results := recorder{versions: make(chan uint64, 99), failures: make(chan error, 99)}
			w := newWatcher(server.URL(), ConfigurationPath, nil, nil, results)
			defer w.Close()
			select {
			case version := <-results.versions:
				if !tt.valid {
					t.Errorf("version %d was accepted", version)
				}
			case err := <-results.failures:
				if tt.valid {
					t.Errorf("the read failed: %v", err)
				}
			case <-time.After(5 * time.Second):
				t.Error("the read had no result")
			}
		})
	}
}
