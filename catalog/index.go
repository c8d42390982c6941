package catalog

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
)

// Index builds the indexes for lookups and returns c. It must be called once, before c
// is shared between goroutines.
func (c *Configuration) Index() *Configuration {
	c.byHost = make(map[string][]*Route)
	c.byService = make(map[string]*Service, len(c.Services))
	c.byKey = make(map[string]*Organisation)
	c.nonRepeatable = make(map[string]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		for _, t := range r.Targets {
			c.nonRepeatable[t.Service] = c.nonRepeatable[t.Service] || !r.Repeatable()
		}
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range c.Services {
		c.byService[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			c.byKey[key] = &c.Organisations[i]
		}
	}
	return c
}

// Route returns the route of the host with the longest prefix of path, or nil.
// A port in host is ignored. The path is the escaped one.
func (c *Configuration) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (c *Configuration) Service(name string) *Service { return c.byService[name] }

// Repeatable reports whether every request to the service may be sent again after it
// may have run.
func (c *Configuration) Repeatable(service string) bool { return !c.nonRepeatable[service] }

// OrganisationByKey returns the organisation that owns the key, or nil.
func (c *Configuration) OrganisationByKey(key string) *Organisation { return c.byKey[key] }

// HasOrganisations reports whether any organisations are configured; without them
// callers need no keys.
func (c *Configuration) HasOrganisations() bool { return len(c.Organisations) > 0 }

// ModelService returns the first service with model engines, or nil.
func (c *Configuration) ModelService() *Service {
	for i := range c.Services {
		if c.Services[i].Engine != nil {
			return &c.Services[i]
		}
	}
	return nil
}

// PickTarget chooses the service of one request at random, by the targets' weights.
func (r *Route) PickTarget() string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := rand.Float64() * total
	for _, t := range r.Targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
