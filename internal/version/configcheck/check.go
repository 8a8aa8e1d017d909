// Package configcheck finds entries of a configuration that VMs accept although they have
// no effect or contradict each other, and says how two configurations differ. It does not
// know how a configuration is encoded: places have the names of routing.Document.
package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/routing"
	"hornbeamvale.example/hornbeamvale/operator"
)

// Kind says what is wrong with an entry.
type Kind string

// The kinds of findings. VMs refuse a version with an Invalid one and keep the last.
const (
	Invalid       Kind = "invalid"
	Unreachable   Kind = "unreachable"
	Contradictory Kind = "contradictory"
)

// Finding is one fault of a configuration. Path is empty if the whole document is meant.
type Finding struct {
	Kind    Kind   `json:"kind"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Input is a decoded configuration with the values that VMs replace or do not use.
type Input struct {
	routing.Document
	Allowances []Allowance // by index of Customers
	Capacities []Capacity  // by index of Endpoints
}

// Allowance is the limit of a customer as it is stated. A rate of 0 means no limit.
type Allowance struct{ Rate, Burst float64 }

// Capacity is what is stated about an endpoint, 0 if nothing is.
type Capacity struct {
	ColdStart time.Duration
	// Connections is how many connections a replica accepts; each carries one request at
	// once. Replicas is how many replicas are registered.
	Connections, Replicas int
}

type checker struct {
	Input
	findings []Finding
}

func (c *checker) add(kind Kind, path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Kind: kind, Path: path, Message: fmt.Sprintf(format, args...)})
}

// Check returns the findings in the order of the document.
func Check(in Input) []Finding {
	c := &checker{Input: in}
	if c.Number == 0 {
		c.add(Invalid, "number", "is 0, want 1 or more: VMs accept version 0 without a check")
	}
	c.routes()
	c.endpoints()
	c.limits()
	c.customers()
	return c.findings
}

func (c *checker) routes() {
	first := map[[2]string]string{}
	for i, r := range c.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			c.add(Unreachable, path+".prefix", "route %q: prefix %q, want a slash at its begin and its end", r.Name, r.Prefix)
		}
		at := [2]string{r.Host, r.Prefix}
		if before, ok := first[at]; ok {
			c.add(Unreachable, path, "route %q is never chosen: route %q has the same host %q and prefix %q", r.Name, before, r.Host, r.Prefix)
		} else {
			first[at] = r.Name
		}
		c.targets(path, r)
		if r.MaxAttempts < 1 {
			c.add(Contradictory, path+".max_attempts", "route %q: %d attempts, want 1 or more", r.Name, r.MaxAttempts)
		}
		if r.Timeout < 0 || r.LatencyTarget < 0 || r.GapTarget < 0 || r.Retention < 0 {
			c.add(Contradictory, path, "route %q has a negative time: timeout %v, latency target %v, gap target %v, retention %v, want 0 or more", r.Name, r.Timeout, r.LatencyTarget, r.GapTarget, r.Retention)
		}
		if r.Timeout > 0 && r.LatencyTarget > r.Timeout {
			c.add(Contradictory, path+".latency_target", "route %q: target %v, want at most the timeout of %v", r.Name, r.LatencyTarget, r.Timeout)
		}
	}
}

func (c *checker) targets(path string, r routing.Route) {
	total := 0
	for j, t := range r.Targets {
		at := fmt.Sprintf("%s.targets[%d]", path, j)
		if !slices.ContainsFunc(c.Endpoints, func(e routing.Endpoint) bool { return e.Name == t.Endpoint }) {
			c.add(Unreachable, at, "route %q sends to service %q, which is not declared", r.Name, t.Endpoint)
		}
		if t.Weight < 0 {
			c.add(Contradictory, at, "route %q: weight %d of service %q, want 0 or more", r.Name, t.Weight, t.Endpoint)
		}
		total += max(0, t.Weight)
	}
	if len(r.Targets) > 0 && total == 0 {
		c.add(Unreachable, path+".targets", "route %q: all weights are 0, so all requests go to service %q", r.Name, r.Targets[0].Endpoint)
	}
}

func (c *checker) endpoints() {
	for i, e := range c.Endpoints {
		path := fmt.Sprintf("endpoints[%d]", i)
		if !slices.ContainsFunc(c.Routes, func(r routing.Route) bool { return r.SendsTo(e.Name) }) {
			c.add(Unreachable, path, "service %q: no route sends requests to it", e.Name)
		}
		if start := c.Capacities[i].ColdStart; start < 0 {
			c.add(Contradictory, path+".cold_start", "service %q: cold for %v, want 0 or more", e.Name, start)
		} else if start > 0 && e.ColdRate == 0 {
			c.add(Contradictory, path+".cold_rate", "service %q is cold for %v, but a rate of 0 means that cold replicas have no limit", e.Name, start)
		}
	}
}

func (c *checker) limits() {
	l := c.Limits
	for _, limit := range []struct {
		path  string
		value int64
	}{
		{"max_header_bytes", int64(l.MaxHeaderBytes)},
		{"max_body_bytes", int64(l.MaxBodyBytes)},
		{"header_timeout", int64(l.HeaderTimeout)},
		{"idle_timeout", int64(l.IdleTimeout)},
	} {
		if limit.value < 0 {
			c.add(Contradictory, "limits."+limit.path, "is negative, want 0 (the default) or more")
		}
	}
}

func (c *checker) customers() {
	open := len(c.Routes) > 0 && !slices.ContainsFunc(c.Routes, func(r routing.Route) bool { return !r.Open })
	owner := map[string]string{}
	for i, customer := range c.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		switch {
		case len(customer.Keys) == 0:
			c.add(Unreachable, path+".keys", "customer %q has no key", customer.Name)
		case open && len(c.Regions[customer.Name]) == 0:
			c.add(Unreachable, path+".keys", "nobody needs the keys of customer %q: every route is public", customer.Name)
		}
		for j, k := range customer.Keys {
			if other, ok := owner[k.SHA256]; ok {
				c.add(Invalid, fmt.Sprintf("%s.keys[%d]", path, j), "key %s of customer %q is also a key of customer %q", digest(k), customer.Name, other)
			}
			owner[k.SHA256] = customer.Name
		}
		c.allowance(path, customer, c.Allowances[i])
		for _, r := range c.Routes {
			if theirs := c.Regions[customer.Name]; len(theirs) > 0 && len(r.Regions) > 0 &&
				!slices.ContainsFunc(theirs, func(region string) bool { return slices.Contains(r.Regions, region) }) {
				c.add(Contradictory, path+".regions", "customer %q (%s) and route %q (%s) have no region in common: its requests get 503", customer.Name, strings.Join(theirs, ", "), r.Name, strings.Join(r.Regions, ", "))
			}
		}
	}
}

func (c *checker) allowance(path string, customer operator.Customer, a Allowance) {
	if a.Rate < 0 {
		c.add(Contradictory, path+".rate", "customer %q: rate %v/s, want 0 (no limit) or more", customer.Name, a.Rate)
	}
	if a.Rate <= 0 {
		return
	}
	if a.Burst < 1 {
		c.add(Contradictory, path+".burst", "customer %q: burst of %v requests, want 1 or more; VMs use 1", customer.Name, a.Burst)
	}
	if carried, stated := c.carried(); stated && a.Burst > float64(carried) {
		c.add(Contradictory, path+".burst", "customer %q: burst of %v requests, but all replicas together carry %d at once", customer.Name, a.Burst, carried)
	}
}

// carried returns how many requests the endpoints with a route carry at once. stated is
// false if that of one of them is not known.
func (c *checker) carried() (requests int, stated bool) {
	for i, e := range c.Endpoints {
		if !slices.ContainsFunc(c.Routes, func(r routing.Route) bool { return r.SendsTo(e.Name) }) {
			continue
		}
		if c.Capacities[i].Connections <= 0 || c.Capacities[i].Replicas <= 0 {
			return 0, false
		}
		requests, stated = requests+c.Capacities[i].Connections*c.Capacities[i].Replicas, true
	}
	return requests, stated
}

// digestDigits is enough to tell the keys of a configuration apart.
const digestDigits = 8

func digest(k operator.Key) string { return k.SHA256[:min(digestDigits, len(k.SHA256))] }
