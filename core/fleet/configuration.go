package fleet

import "github.com/benbjohnson/immutable"

// Configuration is the configuration that operators declare, at one version. Use
// NewConfiguration; the zero value is not usable. Each With method returns a new
// value that shares all unchanged parts with the old one.
type Configuration struct {
	Version uint64 // Version increases with each publication; 0 means none was received.

	domains          *immutable.SortedMap[string, Domain]
	services         *immutable.SortedMap[string, Service]
	accounts         *immutable.SortedMap[string, Account]
	targets          *immutable.SortedMap[string, Target]
	groups           *immutable.SortedMap[string, Group]
	accountsByDigest *immutable.Map[string, string] // account name by key digest
}

// NewConfiguration returns an empty configuration at version 0.
func NewConfiguration() Configuration {
	return Configuration{
		domains:          immutable.NewSortedMap[string, Domain](nil),
		services:         immutable.NewSortedMap[string, Service](nil),
		accounts:         immutable.NewSortedMap[string, Account](nil),
		targets:          immutable.NewSortedMap[string, Target](nil),
		groups:           immutable.NewSortedMap[string, Group](nil),
		accountsByDigest: immutable.NewMap[string, string](nil),
	}
}

// WithVersion returns the configuration with the given version.
func (c Configuration) WithVersion(version uint64) Configuration {
	c.Version = version
	return c
}

// WithDomain adds a failure domain or replaces the one with the same name.
func (c Configuration) WithDomain(domain Domain) Configuration {
	c.domains = c.domains.Set(domain.Name, domain)
	return c
}

// WithService adds a service or replaces the one with the same name.
func (c Configuration) WithService(service Service) Configuration {
	c.services = c.services.Set(service.Name, service)
	return c
}

// WithAccount adds a client account or replaces the one with the same name.
func (c Configuration) WithAccount(account Account) Configuration {
	if old, found := c.accounts.Get(account.Name); found {
		c.accountsByDigest = c.accountsByDigest.Delete(old.Digest)
	}
	c.accounts = c.accounts.Set(account.Name, account)
	c.accountsByDigest = c.accountsByDigest.Set(account.Digest, account.Name)
	return c
}

// WithTarget adds a target or replaces the one with the same name.
func (c Configuration) WithTarget(target Target) Configuration {
	c.targets = c.targets.Set(target.Name, target)
	return c
}

// WithoutTarget returns the configuration without the named target.
func (c Configuration) WithoutTarget(name string) Configuration {
	c.targets = c.targets.Delete(name)
	return c
}

// WithGroup adds a group or replaces the one with the same name.
func (c Configuration) WithGroup(group Group) Configuration {
	c.groups = c.groups.Set(group.Name, group)
	return c
}

// Domain returns the named failure domain.
func (c Configuration) Domain(name string) (Domain, bool) { return c.domains.Get(name) }

// Service returns the named service.
func (c Configuration) Service(name string) (Service, bool) { return c.services.Get(name) }

// Target returns the named target.
func (c Configuration) Target(name string) (Target, bool) { return c.targets.Get(name) }

// AccountByDigest returns the client account whose key has the given digest.
func (c Configuration) AccountByDigest(digest string) (Account, bool) {
	name, found := c.accountsByDigest.Get(digest)
	if !found {
		return Account{}, false
	}
	return c.accounts.Get(name)
}

// Domains returns the failure domains sorted by name.
func (c Configuration) Domains() []Domain { return sortedValues(c.domains) }

// Services returns the services sorted by name.
func (c Configuration) Services() []Service { return sortedValues(c.services) }

// Accounts returns the client accounts sorted by name.
func (c Configuration) Accounts() []Account { return sortedValues(c.accounts) }

// Targets returns the targets sorted by name.
func (c Configuration) Targets() []Target { return sortedValues(c.targets) }

// Groups returns the groups sorted by name.
func (c Configuration) Groups() []Group { return sortedValues(c.groups) }

// Available reports whether the named target may get new work: it is declared,
// not leaving, and its failure domain is not evacuated.
func (c Configuration) Available(name string) bool {
	target, found := c.targets.Get(name)
	if !found || target.Leaving {
		return false
	}
	domain, found := c.domains.Get(target.Domain)
	return found && !domain.Evacuated
}

func sortedValues[V any](m *immutable.SortedMap[string, V]) []V {
	list := make([]V, 0, m.Len())
	for i := m.Iterator(); !i.Done(); {
		_, v, _ := i.Next()
		list = append(list, v)
	}
	return list
}

// ForTarget returns the configuration reduced to the named target, its failure
// domain and its service.
func (c Configuration) ForTarget(name string) Configuration {
	result := NewConfiguration().WithVersion(c.Version)
	t, found := c.Target(name)
	if !found {
		return result
	}
	result = result.WithTarget(t)
	if d, found := c.Domain(t.Domain); found {
		result = result.WithDomain(d)
	}
	if s, found := c.Service(t.Service); found {
		result = result.WithService(s)
	}
	return result
}
