package version

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"iter"
	"maps"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/operator"
)

const (
	defaultEndpointTimeout = 120 * time.Second
	defaultMaxConcurrent   = 32
	defaultIdleTimeout     = 15 * time.Minute
	wildcard               = "*"
)

// Version is one accepted configuration, compiled for lookups.
type Version struct {
	// Number increases with each accepted configuration; 0 is the empty configuration of
	// a new fleet.
	Number uint64
	// Seats is the number of fallback shares into which each customer's rate and burst
	// are divided.
	Seats int

	customers  map[string]*Customer
	endpoints  map[string]*Endpoint
	programs   map[string]*Program
	keys       map[[sha256.Size]byte]*keyEntry
	drainedVMs map[string]bool
}

// keyEntry is a key of a customer, of which only the digest is known.
type keyEntry struct {
	digest   [sha256.Size]byte
	id       string
	customer *Customer
}

// Customer is a tenant with its rate limit and permissions.
type Customer struct {
	Name   string
	Rate   float64 // requests per second across the fleet
	Burst  float64 // requests
	Weight float64

	endpoints map[string]bool // the endpoints that it may call, or the wildcard
	programs  map[string]bool // the programs that it may run, or the wildcard
}

// Program is a declared agent program.
type Program struct {
	Name   string
	Budget operator.Budget
	// IdleTimeout is how long a run of the program may be without a turn before it ends.
	IdleTimeout time.Duration
}

// Endpoint is a configured back end with its defaults filled in.
type Endpoint struct {
	operator.Endpoint
	Timeout       time.Duration
	MaxConcurrent int
}

// Empty returns the configuration of a fleet to which none was submitted.
func Empty() *Version {
	v, _ := Compile(&operator.Document{}, 0)
	return v
}

// Compile checks a document and builds its lookup tables. The error is a *DocumentError
// that lists every fault.
func Compile(doc *operator.Document, number uint64) (*Version, error) {
	if number > 0 {
		if err := check(doc); err != nil {
			return nil, err
		}
	}
	v := &Version{
		Number:     number,
		Seats:      max(1, doc.Fleet.Seats),
		customers:  make(map[string]*Customer, len(doc.Customers)),
		endpoints:  make(map[string]*Endpoint, len(doc.Endpoints)),
		programs:   make(map[string]*Program, len(doc.Programs)),
		keys:       make(map[[sha256.Size]byte]*keyEntry),
		drainedVMs: set(doc.Fleet.DrainedVMs),
	}
	for i := range doc.Customers {
		v.addCustomer(&doc.Customers[i])
	}
	for i := range doc.Programs {
		p := &doc.Programs[i]
		idle := time.Duration(p.IdleSeconds) * time.Second
		if idle == 0 {
			idle = defaultIdleTimeout
		}
		v.programs[p.Name] = &Program{Name: p.Name, Budget: p.Budget, IdleTimeout: idle}
	}
	for i := range doc.Endpoints {
		v.addEndpoint(&doc.Endpoints[i])
	}
	return v, nil
}

func (v *Version) addCustomer(c *operator.Customer) {
	customer := &Customer{
		Name: c.Name, Rate: c.Rate, Burst: c.Burst, Weight: c.Weight,
		endpoints: set(c.Endpoints), programs: set(c.Programs),
	}
	if customer.Weight == 0 {
		customer.Weight = 1
	}
	v.customers[c.Name] = customer
	for _, k := range c.Keys {
		raw, err := hex.DecodeString(k.SHA256)
		if err != nil || len(raw) != sha256.Size {
			continue // does not occur, since check refuses such a document
		}
		e := &keyEntry{digest: [sha256.Size]byte(raw), id: k.ID, customer: customer}
		v.keys[e.digest] = e
	}
}

func (v *Version) addEndpoint(e *operator.Endpoint) {
	endpoint := &Endpoint{Endpoint: *e, MaxConcurrent: e.MaxConcurrent}
	endpoint.Timeout = time.Duration(e.TimeoutSeconds) * time.Second
	if endpoint.Timeout == 0 {
		endpoint.Timeout = defaultEndpointTimeout
	}
	if endpoint.MaxConcurrent == 0 {
		endpoint.MaxConcurrent = defaultMaxConcurrent
	}
	v.endpoints[e.Name] = endpoint
}

// Authenticate returns the customer whose key was presented. The lookup is by digest, so
// that its time does not reveal how much of a guessed key is correct.
func (v *Version) Authenticate(key string) (*Customer, bool) {
	digest := sha256.Sum256([]byte(key))
	e, ok := v.keys[digest]
	if !ok || subtle.ConstantTimeCompare(e.digest[:], digest[:]) != 1 {
		return nil, false
	}
	return e.customer, true
}

// Customer returns a customer by name.
func (v *Version) Customer(name string) (*Customer, bool) {
	c, ok := v.customers[name]
	return c, ok
}

// Customers returns all customers in no particular order.
func (v *Version) Customers() iter.Seq[*Customer] { return maps.Values(v.customers) }

// Endpoint returns an endpoint by name.
func (v *Version) Endpoint(name string) (*Endpoint, bool) {
	e, ok := v.endpoints[name]
	return e, ok
}

// Program returns the declared program of a run. Runs are named
// "<program>:<instance>", with sub-agents appended after "/".
func (v *Version) Program(run string) (*Program, bool) {
	p, ok := v.programs[ProgramName(run)]
	return p, ok
}

// VMDrained reports whether the VM is drained and gets no new work.
func (v *Version) VMDrained(vm string) bool { return v.drainedVMs[vm] }

// MayReach reports whether the customer may call the endpoint.
func (c *Customer) MayReach(endpoint string) bool {
	return c.endpoints[wildcard] || c.endpoints[endpoint]
}

// MayRun reports whether the customer may run the agent program.
func (c *Customer) MayRun(program string) bool {
	return c.programs[wildcard] || c.programs[program]
}

// Route returns the first route that matches a call of a plain service. A call that
// matches none is not idempotent and not open, that is it needs a key.
func (e *Endpoint) Route(method, path string) operator.Route {
	for _, r := range e.Routes {
		if (r.Method == "" || strings.EqualFold(r.Method, method)) && strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return operator.Route{Method: method, Prefix: path}
}

// ProgramName returns the name of the program that a run belongs to.
func ProgramName(run string) string {
	root, _, _ := strings.Cut(run, "/")
	name, _, _ := strings.Cut(root, ":")
	return name
}

// RootRun returns the name of the top-level run of a run. A sub-agent shares the budget
// and the slot of its top-level run.
func RootRun(run string) string {
	root, _, _ := strings.Cut(run, "/")
	return root
}

func set(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}
