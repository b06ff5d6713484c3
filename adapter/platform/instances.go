package platform

import (
	"encoding/json"
	"net"

	"github.com/gravitational/trace"
)

// Instance is one entry of the platform's list of instances. The list may be out
// of date.
type Instance struct {
	Name  string `json:"name"`
	State string `json:"state"` // "live" or "leaving"
}

// ListReceiver receives the platform's list of instances.
type ListReceiver interface {
	// Listed handles a new list, given the names of the instances that are
	// leaving.
	Listed(leaving []string)
	// Failed handles an error from reading the list.
	Failed(err error)
}

// Instances follows the platform's list of instances.
type Instances struct {
	*watcher
}

// FollowInstances follows the list published at source until Close. Connections
// originate from local, or from any address if local is nil.
func FollowInstances(source string, local net.IP, receiver ListReceiver) *Instances {
	return &Instances{newWatcher(source, InstancesPath, nil, local, listReader{receiver})}
}

type listReader struct{ receiver ListReceiver }

func (l listReader) received(_ uint64, text []byte) {
	var list []Instance
	if err := json.Unmarshal(text, &list); err != nil {
		l.receiver.Failed(trace.BadParameter("the platform's list of instances can't be read: %v", err))
		return
	}
	var leaving []string
	for _, i := range list {
		if i.State == "leaving" {
			leaving = append(leaving, i.Name)
		}
	}
	l.receiver.Listed(leaving)
}

func (l listReader) unchanged() {}

func (l listReader) failed(err error) { l.receiver.Failed(err) }
