package route

import (
	"slices"
	"strings"
)

// Book is everything that operators declare of requests at one version. The
// zero value has version 0, which stands for none received.
type Book struct {
	Version uint64
	Limits  Limits

	routes       map[string][]Route // by host, the longest prefix first; never written after construction
	services     map[string]Service // by name; never written after construction
	accounts     map[string]Account // by key; never written after construction
	requiresKeys bool               // operators declared client accounts
}

// Option adds to a new Book.
type Option func(*Book)

// WithRoutes adds routes.
func WithRoutes(routes ...Route) Option {
	return func(b *Book) {
		for _, r := range routes {
			host := strings.ToLower(r.Host)
			b.routes[host] = append(b.routes[host], r)
		}
	}
}

// WithServices adds services.
func WithServices(services ...Service) Option {
	return func(b *Book) {
		for _, s := range services {
			b.services[s.Name] = s
		}
	}
}

// WithAccount adds a client account and its keys. An account without keys is
// allowed: all of its requests are refused.
func WithAccount(account Account, keys ...string) Option {
	return func(b *Book) {
		b.requiresKeys = true
		for _, key := range keys {
			b.accounts[key] = account
		}
	}
}

// WithLimits sets what a caller may send.
func WithLimits(limits Limits) Option {
	return func(b *Book) { b.Limits = limits }
}

// NewBook returns the book published under a version.
func NewBook(version uint64, options ...Option) Book {
	b := Book{Version: version, routes: map[string][]Route{}, services: map[string]Service{}, accounts: map[string]Account{}}
	for _, option := range options {
		option(&b)
	}
	for _, routes := range b.routes {
		slices.SortStableFunc(routes, func(x, y Route) int { return len(y.Prefix) - len(x.Prefix) })
	}
	return b
}

// Newer returns the offered book if its version is higher, else b, so that a
// late or repeated publication never falls back.
func (b Book) Newer(offered Book) Book {
	if offered.Version > b.Version {
		return offered
	}
	return b
}

// Route returns the route of a host with the longest prefix that begins path.
func (b Book) Route(host, path string) (Route, bool) {
	for _, r := range b.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service of that name.
func (b Book) Service(name string) (Service, bool) {
	s, found := b.services[name]
	return s, found
}

// RequiresKeys reports whether requests on routes that are not public need a key.
func (b Book) RequiresKeys() bool { return b.requiresKeys }

// Account returns the client account that holds a key.
func (b Book) Account(key string) (Account, bool) {
	a, found := b.accounts[key]
	return a, found
}
