// Package routing is one configuration version of a fleet that routes by host and
// path: which endpoint a request goes to, what may be repeated, and how long it may
// take. A Table is immutable.
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

// Kind says what may be repeated and how the answer comes.
type Kind uint8

// The kinds of routes. A stream is never repeated once it may have run.
const (
	Idempotent Kind = iota + 1
	NonIdempotent
	Stream
)

// Target is an endpoint with its part of a route's requests.
type Target struct {
	Endpoint string
	Weight   int
}

// Route sends the requests below a path prefix of one host to endpoints.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Priority is the rank of the route's requests; 0 goes first.
	Priority int
	Targets  []Target
	// MaxAttempts is the largest number of replicas to which one request is sent.
	MaxAttempts int
	// KeepsHistory says that the system keeps the turns of this route and puts them
	// before the input of the turns that continue them, for Retention.
	KeepsHistory bool
	Retention    time.Duration
	// Open admits requests without a key.
	Open bool
}

// Repeatable says whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// Endpoint returns the endpoint of the request with the given id. The choice is
// the same at every VM.
func (r *Route) Endpoint(id string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Endpoint
	}
	at := int(hashing.Unit("split", r.Name, id) * float64(total))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Endpoint
		}
	}
	return r.Targets[len(r.Targets)-1].Endpoint
}

// Endpoint is a back end of the table.
type Endpoint struct {
	Name string
	// EventTokens is the number of tokens in an event of a model's stream; 0 for a
	// plain service.
	EventTokens int
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	MaxBodyBytes int // 0 if not stated
}

// Document is a configuration before it is compiled. Customers carry digests of
// their keys.
type Document struct {
	Number    uint64
	Customers []operator.Customer
	// Priorities holds the ranks of customers that have one; they go before the
	// ranks of routes.
	Priorities map[string]int
	Routes     []Route
	Endpoints  []Endpoint
	Limits     CallerLimits
}

// Table is one configuration in force.
type Table struct {
	Number uint64
	Limits CallerLimits

	access     *version.Version
	priorities map[string]int
	hosts      map[string][]*Route // longest prefix first
	endpoints  map[string]Endpoint
}

// Error is this package's error.
type Error struct {
	Number uint64
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("routing table %d: %v", e.Number, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Compile checks a document and builds its lookups.
func Compile(d Document) (*Table, error) {
	access := &operator.Document{Fleet: operator.Fleet{Seats: 1}, Customers: d.Customers}
	t := &Table{
		Number: d.Number, Limits: d.Limits, priorities: d.Priorities,
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
	for i := range d.Routes {
		r := d.Routes[i]
		if len(r.Targets) == 0 {
			return nil, &Error{Number: d.Number, Err: fmt.Errorf("route %q has no endpoint", r.Name)}
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], &r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// Match returns the route with the longest prefix of the path at the host.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Authenticate returns the customer whose key was presented.
func (t *Table) Authenticate(key string) (*version.Customer, bool) { return t.access.Authenticate(key) }

// Customer returns a customer by name.
func (t *Table) Customer(name string) (*version.Customer, bool) { return t.access.Customer(name) }

// Customers returns all customers, in no order.
func (t *Table) Customers() []*version.Customer { return slices.Collect(t.access.Customers()) }

// Endpoint returns an endpoint by name.
func (t *Table) Endpoint(name string) (Endpoint, bool) {
	e, ok := t.endpoints[name]
	return e, ok
}

// Priority returns the rank of a customer's requests on a route.
func (t *Table) Priority(customer string, r *Route) int {
	if p, ok := t.priorities[customer]; ok {
		return p
	}
	return r.Priority
}
