package route

import (
	"maps"
	"slices"
	"strings"
)

// Book is one version of the routing configuration. The zero value has version 0,
// which means that no configuration was received.
type Book struct {
	Version uint64
	Limits  Limits

	routes       map[string][]Route // by lower-case host, longest prefix first; never written after construction
	services     map[string]Service // by name; never written after construction
	accounts     map[string]Account // by API key; never written after construction
	requiresKeys bool               // at least one client account is declared
}

// Option sets a part of a new Book.
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

// WithAccount adds a client account and its API keys. An account may have no
// keys; no request can then use it.
func WithAccount(account Account, keys ...string) Option {
	return func(b *Book) {
		b.requiresKeys = true
		for _, key := range keys {
			b.accounts[key] = account
		}
	}
}

// WithLimits sets the limits on requests.
func WithLimits(limits Limits) Option {
	return func(b *Book) { b.Limits = limits }
}

// NewBook returns a book of the given version.
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

// Newer returns the offered book if its version is higher, else b, so that a late
// or repeated publication never replaces a newer one.
func (b Book) Newer(offered Book) Book {
	if offered.Version > b.Version {
		return offered
	}
	return b
}

// Route returns the route of the host with the longest prefix of path.
func (b Book) Route(host, path string) (Route, bool) {
	for _, r := range b.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with the given name.
func (b Book) Service(name string) (Service, bool) {
	s, found := b.services[name]
	return s, found
}

// Services returns the services, sorted by name.
func (b Book) Services() []Service {
	return slices.SortedFunc(maps.Values(b.services), func(x, y Service) int { return strings.Compare(x.Name, y.Name) })
}

// RequiresKeys reports whether requests on routes that are not public need an
// API key.
func (b Book) RequiresKeys() bool { return b.requiresKeys }

// Account returns the client account that the API key belongs to.
func (b Book) Account(key string) (Account, bool) {
	a, found := b.accounts[key]
	return a, found
}
