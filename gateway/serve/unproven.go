package serve

import "sync"

// unprovenAttempts holds the attempts in flight of requests with a part of their prompt
// that is not proven. An attempt ends when a part is quarantined, since it would crash
// its target as soon as the target begins to answer it.
type unprovenAttempts struct {
	mu      sync.Mutex
	cancels map[string]map[*func()]struct{} // by part; guarded by mu
}

// add adds an attempt that cancel ends. The returned function removes it.
func (u *unprovenAttempts) add(parts []string, cancel func()) (remove func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cancels == nil {
		u.cancels = map[string]map[*func()]struct{}{}
	}
	for _, part := range parts {
		if u.cancels[part] == nil {
			u.cancels[part] = map[*func()]struct{}{}
		}
		u.cancels[part][&cancel] = struct{}{}
	}
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		for _, part := range parts {
			delete(u.cancels[part], &cancel)
			if len(u.cancels[part]) == 0 {
				delete(u.cancels, part)
			}
		}
	}
}

// cancel ends the attempts of requests with one of the parts.
func (u *unprovenAttempts) cancel(parts []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, part := range parts {
		for cancel := range u.cancels[part] {
			(*cancel)()
		}
	}
}
