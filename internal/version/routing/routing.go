// Package routing holds one configuration version of a fleet that routes requests by
// host and path. It determines the endpoint of a request, whether it may be repeated,
// and how long it may take. A Table is immutable.
package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
	"hornbeamvale.example/hornbeamvale/operator"
)

// Kind determines whether requests of a route may be repeated and how their answers are
// relayed.
type Kind uint8

// The kinds of routes. The answer of a Stream is relayed as it arrives; unless it is
// resumable, the request is never repeated once it may have run.
const (
	Idempotent Kind = iota + 1
	NonIdempotent
	Stream
)

// Target is an endpoint with its weight in the distribution of a route's requests.
type Target struct {
	Endpoint string
	Weight   int
}

// Route sends the requests under a path prefix of one host to endpoints.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time in which a request must be answered; 0 if not stated.
	Timeout time.Duration
	// Priority orders the route's requests; 0 is served first.
	Priority int
	Targets  []Target
	// MaxAttempts is the largest number of attempts of a request, each at another
	// replica.
	MaxAttempts int
	// KeepsHistory is true if the system records the turns of this route for Retention
	// and puts them before the input of the turns that continue them.
	KeepsHistory bool
	Retention    time.Duration
	// Open admits requests without a key.
	Open bool
	// Resumable is true if another replica may go on with a stream that broke off.
	Resumable bool
	// Sticky is true if a replica serves an object faster that it has handled lately.
	Sticky bool
	// Regions are the regions whose replicas may get the requests; empty means all.
	Regions []string
	// LatencyTarget is the time within which an answer is on time, for a stream until its
	// first event. GapTarget is the longest pause between two events of a stream that is on
	// time. Either is 0 if not stated.
	LatencyTarget, GapTarget time.Duration
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// SendsTo reports whether the route names an endpoint.
func (r *Route) SendsTo(endpoint string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Endpoint == endpoint })
}

// Endpoint returns the endpoint of the request with the given id, by the weights of the
// targets. The choice is the same at every VM.
func (r *Route) Endpoint(id string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Endpoint
	}
	at := int(hashing.Fraction("split", r.Name, id) * float64(total))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Endpoint
		}
	}
	return r.Targets[len(r.Targets)-1].Endpoint
}

// Endpoint is a back end to which routes send requests.
type Endpoint struct {
	Name string
	// EventTokens is the number of tokens in each event with data of a model's stream; 0
	// for a plain service.
	EventTokens int
	// MemoryTokens is how many tokens a model's replica holds in memory, for the requests
	// that it runs and its cache; 0 if not stated.
	MemoryTokens int64
	// ColdRate is the rate in requests/s, from all VMs together, that a replica tolerates
	// while it is cold; 0 means that cold replicas need no limit.
	ColdRate float64
}

// CallerLimits bounds the requests of callers.
type CallerLimits struct {
	// Each limit is 0 if not stated. MaxHeaderBytes bounds the head of a request,
	// HeaderTimeout the time to send it. A connection may be idle for IdleTimeout.
	MaxBodyBytes, MaxHeaderBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Document is a configuration before it is compiled. Customers carry digests of
// their keys.
type Document struct {
	Number    uint64
	Customers []operator.Customer
	// Priorities holds the priorities of customers that have one. They override the
	// priorities of routes.
	Priorities map[string]int
	// Regions holds the regions whose replicas may get a customer's requests, for the
	// customers that are restricted to some.
	Regions   map[string][]string
	Routes    []Route
	Endpoints []Endpoint
	Limits    CallerLimits
}

// Table is a compiled configuration.
type Table struct {
	Number uint64
	Limits CallerLimits

	access     *version.Version // the customers with their keys
	priorities map[string]int
	regions    map[string][]string // by customer
	// restrictsRegions is set if a route or a customer names regions.
	restrictsRegions bool
	hosts            map[string][]*Route // by host, longest prefix first
	endpoints        map[string]Endpoint
}

// Error is the reason why a routing table could not be compiled.
type Error struct {
	Number uint64
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("routing table %d: %v", e.Number, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Compile checks a document and builds its lookup tables.
func Compile(d Document) (*Table, error) {
	access := &operator.Document{Fleet: operator.Fleet{Seats: 1}, Customers: d.Customers}
	t := &Table{
		Number: d.Number, Limits: d.Limits, priorities: d.Priorities, regions: d.Regions, restrictsRegions: len(d.Regions) > 0,
		hosts: map[string][]*Route{}, endpoints: map[string]Endpoint{},
	}
	for _, e := range d.Endpoints {
		t.endpoints[e.Name] = e
		access.Endpoints = append(access.Endpoints, operator.Endpoint{Name: e.Name, Kind: operator.KindService})
	}
	var err error
	if t.access, err = version.Compile(access, d.Number); err != nil {
		return nil, &Error{Number: d.Number, Err: err}
	}
	var faults []version.Fault
	for i := range d.Routes {
		r := d.Routes[i]
		if len(r.Targets) == 0 {
			faults = append(faults, version.Fault{
				Path:    fmt.Sprintf("routes[%d].targets", i),
				Message: fmt.Sprintf("route %q at host %q with prefix %q has no endpoint", r.Name, r.Host, r.Prefix),
			})
			continue
		}
		t.restrictsRegions = t.restrictsRegions || len(r.Regions) > 0
		t.hosts[r.Host] = append(t.hosts[r.Host], &r)
	}
	if len(faults) > 0 {
		return nil, &Error{Number: d.Number, Err: &version.DocumentError{Faults: faults}}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// Match returns the route of the host with the longest prefix that matches the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// LongestRetention returns the longest time for which a route keeps its turns.
func (t *Table) LongestRetention() time.Duration {
	var longest time.Duration
	for _, routes := range t.hosts {
		for _, r := range routes {
			if r.KeepsHistory {
				longest = max(longest, r.Retention)
			}
		}
	}
	return longest
}

// Authenticate returns the customer whose key was presented.
func (t *Table) Authenticate(key string) (*version.Customer, bool) { return t.access.Authenticate(key) }

// Customer returns a customer by name.
func (t *Table) Customer(name string) (*version.Customer, bool) { return t.access.Customer(name) }

// Customers returns all customers in no particular order.
func (t *Table) Customers() []*version.Customer { return slices.Collect(t.access.Customers()) }

// Endpoint returns an endpoint by name.
func (t *Table) Endpoint(name string) (Endpoint, bool) {
	e, ok := t.endpoints[name]
	return e, ok
}

// Priority returns the priority of a customer's requests on a route; 0 is served first.
func (t *Table) Priority(customer string, r *Route) int {
	if p, ok := t.priorities[customer]; ok {
		return p
	}
	return r.Priority
}

// Regions returns the regions whose replicas may get a customer's requests on a route.
// restricted is false if all may. A customer and a route may both name regions; then only
// those that both name are left, which may be none.
func (t *Table) Regions(customer string, r *Route) (regions []string, restricted bool) {
	ofCustomer := t.regions[customer]
	switch {
	case len(r.Regions) == 0:
		return ofCustomer, len(ofCustomer) > 0
	case len(ofCustomer) == 0:
		return r.Regions, true
	}
	for _, region := range r.Regions {
		if slices.Contains(ofCustomer, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}

// Allowed returns the regions to which a customer's requests on a route may go.
func (t *Table) Allowed(customer string, r *Route) AllowedRegions {
	regions, restricted := t.Regions(customer, r)
	return AllowedRegions{regions, restricted}
}

// RestrictsRegions reports whether a route or a customer names regions.
func (t *Table) RestrictsRegions() bool { return t.restrictsRegions }
