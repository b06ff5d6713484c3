package fleet

import "github.com/benbjohnson/immutable"

// Configuration is everything operators declare at one version. The zero value
// is not usable; start with NewConfiguration. Each With method returns a new
// value that shares all unchanged parts with the old one.
type Configuration struct {
	Version uint64 // Version rises with each publication; 0 means none was received.

	domains  *immutable.SortedMap[string, Domain]
	services *immutable.SortedMap[string, Service]
	accounts *immutable.SortedMap[string, Account]
	targets  *immutable.SortedMap[string, Target]
	groups   *immutable.SortedMap[string, Group]
	digests  *immutable.Map[string, string] // account name by key digest
}

// NewConfiguration returns an empty configuration of version 0.
func NewConfiguration() Configuration {
	return Configuration{
		domains:  immutable.NewSortedMap[string, Domain](nil),
		services: immutable.NewSortedMap[string, Service](nil),
		accounts: immutable.NewSortedMap[string, Account](nil),
		targets:  immutable.NewSortedMap[string, Target](nil),
		groups:   immutable.NewSortedMap[string, Group](nil),
		digests:  immutable.NewMap[string, string](nil),
	}
}

// WithVersion returns the configuration as published under version.
func (c Configuration) WithVersion(version uint64) Configuration {
	c.Version = version
	return c
}

// WithDomain adds a failure domain or replaces the one of the same name.
func (c Configuration) WithDomain(domain Domain) Configuration {
	c.domains = c.domains.Set(domain.Name, domain)
	return c
}

// WithService adds a service or replaces the one of the same name.
func (c Configuration) WithService(service Service) Configuration {
	c.services = c.services.Set(service.Name, service)
	return c
}

// WithAccount adds a client account or replaces the one of the same name.
func (c Configuration) WithAccount(account Account) Configuration {
	if old, found := c.accounts.Get(account.Name); found {
		c.digests = c.digests.Delete(old.Digest)
	}
	c.accounts = c.accounts.Set(account.Name, account)
	c.digests = c.digests.Set(account.Digest, account.Name)
	return c
}

// WithTarget adds a target or replaces the one of the same name.
func (c Configuration) WithTarget(target Target) Configuration {
	c.targets = c.targets.Set(target.Name, target)
	return c
}

// WithoutTarget returns the configuration without the named target.
func (c Configuration) WithoutTarget(name string) Configuration {
	c.targets = c.targets.Delete(name)
	return c
}

// WithGroup adds a group or replaces the one of the same name.
func (c Configuration) WithGroup(group Group) Configuration {
	c.groups = c.groups.Set(group.Name, group)
	return c
}

// Domain returns the failure domain of that name.
func (c Configuration) Domain(name string) (Domain, bool) { return c.domains.Get(name) }

// Service returns the service of that name.
func (c Configuration) Service(name string) (Service, bool) { return c.services.Get(name) }

// Target returns the target of that name.
func (c Configuration) Target(name string) (Target, bool) { return c.targets.Get(name) }

// AccountByDigest returns the client account whose key has this digest.
func (c Configuration) AccountByDigest(digest string) (Account, bool) {
	name, found := c.digests.Get(digest)
	if !found {
		return Account{}, false
	}
	return c.accounts.Get(name)
}

// Domains returns the failure domains sorted by name.
func (c Configuration) Domains() []Domain { return values(c.domains) }

// Services returns the services sorted by name.
func (c Configuration) Services() []Service { return values(c.services) }

// Accounts returns the client accounts sorted by name.
func (c Configuration) Accounts() []Account { return values(c.accounts) }

// Targets returns the targets sorted by name.
func (c Configuration) Targets() []Target { return values(c.targets) }

// Groups returns the groups sorted by name.
func (c Configuration) Groups() []Group { return values(c.groups) }

// Available reports whether operators let the target take new work: neither it nor
// its failure domain is taken out.
func (c Configuration) Available(name string) bool {
	target, found := c.targets.Get(name)
	if !found || target.Leaving {
		return false
	}
	domain, found := c.domains.Get(target.Domain)
	return found && !domain.Evacuated
}

func values[V any](m *immutable.SortedMap[string, V]) []V {
	list := make([]V, 0, m.Len())
	for i := m.Iterator(); !i.Done(); {
		_, v, _ := i.Next()
		list = append(list, v)
	}
	return list
}

// ForTarget returns the part of the configuration that concerns one target.
func (c Configuration) ForTarget(name string) Configuration {
	part := NewConfiguration().WithVersion(c.Version)
	t, found := c.Target(name)
	if !found {
		return part
	}
	part = part.WithTarget(t)
	if d, found := c.Domain(t.Domain); found {
		part = part.WithDomain(d)
	}
	if s, found := c.Service(t.Service); found {
		part = part.WithService(s)
	}
	return part
}
