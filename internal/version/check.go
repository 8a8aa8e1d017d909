package version

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"

	"hornbeamvale.example/hornbeamvale/operator"
)

// DocumentError lists all faults of a configuration document.
type DocumentError struct {
	Faults []Fault
}

// Fault is one fault of a document with the path of the invalid value.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Error implements error.
func (e *DocumentError) Error() string {
	parts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		parts[i] = f.Path + ": " + f.Message
	}
	return "configuration document: " + strings.Join(parts, "; ")
}

// maxSeats bounds the seats so that a fallback share does not become negligible.
const maxSeats = 10_000

// checker collects the faults of a document.
type checker struct{ faults []Fault }

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// check returns a *DocumentError if the document has faults.
func check(doc *operator.Document) error {
	c := &checker{}
	if doc.Fleet.Seats < 1 || doc.Fleet.Seats > maxSeats {
		c.add("fleet.seats", "must be between 1 and %d", maxSeats)
	}
	c.customers(doc)
	c.programs(doc)
	c.endpoints(doc)
	if len(c.faults) > 0 {
		return &DocumentError{Faults: c.faults}
	}
	return nil
}

func (c *checker) name(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.add(path, "must not be empty")
	case strings.ContainsAny(name, "/:* \t\r\n"):
		c.add(path, "%q must not contain '/', ':', '*' or white space", name)
	case seen[name]:
		c.add(path, "%q is declared twice", name)
	}
	seen[name] = true
}

func (c *checker) positive(path string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value <= 0 {
		c.add(path, "must be a positive number")
	}
}

func (c *checker) notNegative(path string, values ...int64) {
	for _, v := range values {
		if v < 0 {
			c.add(path, "must not be negative")
			return
		}
	}
}

func (c *checker) customers(doc *operator.Document) {
	endpoints, programs := map[string]bool{wildcard: true}, map[string]bool{wildcard: true}
	for _, e := range doc.Endpoints {
		endpoints[e.Name] = true
	}
	for _, p := range doc.Programs {
		programs[p.Name] = true
	}
	names, digests := map[string]bool{}, map[string]bool{}
	for i, customer := range doc.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		c.name(path+".name", customer.Name, names)
		c.positive(path+".rate", customer.Rate)
		c.positive(path+".burst", customer.Burst)
		if customer.Weight != 0 {
			c.positive(path+".weight", customer.Weight)
		}
		c.keys(path, customer.Keys, digests)
		c.references(path+".endpoints", customer.Endpoints, endpoints)
		c.references(path+".programs", customer.Programs, programs)
	}
}

func (c *checker) keys(path string, keys []operator.Key, digests map[string]bool) {
	for j, k := range keys {
		kp := fmt.Sprintf("%s.keys[%d]", path, j)
		if k.ID == "" {
			c.add(kp+".id", "must not be empty")
		}
		raw, err := hex.DecodeString(k.SHA256)
		if err != nil || len(raw) != 32 {
			c.add(kp+".sha256", "must be 64 hexadecimal digits")
		}
		digest := strings.ToLower(k.SHA256)
		if digests[digest] {
			c.add(kp+".sha256", "the same key is given twice")
		}
		digests[digest] = true
	}
}

func (c *checker) references(path string, names []string, declared map[string]bool) {
	for j, n := range names {
		if !declared[n] {
			c.add(fmt.Sprintf("%s[%d]", path, j), "%q is not declared", n)
		}
	}
}

func (c *checker) programs(doc *operator.Document) {
	names := map[string]bool{}
	for i, p := range doc.Programs {
		path := fmt.Sprintf("programs[%d]", i)
		c.name(path+".name", p.Name, names)
		b := p.Budget
		c.notNegative(path+".budget", b.Turns, b.Tokens, b.WallSeconds, b.MicroCost)
		c.notNegative(path+".idle_seconds", int64(p.IdleSeconds))
	}
}

func (c *checker) endpoints(doc *operator.Document) {
	names := map[string]bool{}
	for i, e := range doc.Endpoints {
		path := fmt.Sprintf("endpoints[%d]", i)
		c.name(path+".name", e.Name, names)
		if e.Kind != operator.KindModel && e.Kind != operator.KindService {
			c.add(path+".kind", "must be %q or %q", operator.KindModel, operator.KindService)
		}
		c.notNegative(path+".timeout_seconds", int64(e.TimeoutSeconds))
		c.notNegative(path+".max_concurrent", int64(e.MaxConcurrent))
		c.notNegative(path+".price", e.Price.PerCall, e.Price.PerThousandTokens)
		c.notNegative(path+".loads_per_minute", int64(e.LoadsPerMinute))
		for j, m := range e.Models {
			mp := fmt.Sprintf("%s.models[%d]", path, j)
			if m.Name == "" {
				c.add(mp+".name", "must not be empty")
			}
			c.notNegative(mp+".replicas", int64(m.Replicas))
		}
		for j, r := range e.Routes {
			if !strings.HasPrefix(r.Prefix, "/") {
				c.add(fmt.Sprintf("%s.routes[%d].prefix", path, j), "must begin with '/'")
			}
		}
	}
}
