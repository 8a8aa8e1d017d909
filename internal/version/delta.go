package version

import (
	"slices"

	"hornbeamvale.example/hornbeamvale/operator"
)

// Delta is the difference between two documents. Entries are identified by their names,
// so the size of a delta depends on the change and not on the document.
type Delta struct {
	Fleet     *operator.Fleet           `json:"fleet,omitempty"`
	Customers Change[operator.Customer] `json:"customers"`
	Programs  Change[operator.Program]  `json:"programs"`
	Endpoints Change[operator.Endpoint] `json:"endpoints"`
}

// Change lists the entries that were added or replaced and the names of those that
// were removed.
type Change[T any] struct {
	Set     []T      `json:"set,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// Diff returns the delta from one document to another. Both must be valid documents, so
// that their names are unique.
func Diff(from, to *operator.Document) Delta {
	d := Delta{
		Customers: diff(from.Customers, to.Customers, customerName),
		Programs:  diff(from.Programs, to.Programs, programName),
		Endpoints: diff(from.Endpoints, to.Endpoints, endpointName),
	}
	if !equal(from.Fleet, to.Fleet) {
		d.Fleet = &to.Fleet
	}
	return d
}

// Apply returns the document that results from the delta. It does not change from.
func (d Delta) Apply(from *operator.Document) *operator.Document {
	to := &operator.Document{
		Fleet:     from.Fleet,
		Customers: apply(from.Customers, d.Customers, customerName),
		Programs:  apply(from.Programs, d.Programs, programName),
		Endpoints: apply(from.Endpoints, d.Endpoints, endpointName),
	}
	if d.Fleet != nil {
		to.Fleet = *d.Fleet
	}
	return to
}

func customerName(c operator.Customer) string { return c.Name }
func programName(p operator.Program) string   { return p.Name }
func endpointName(e operator.Endpoint) string { return e.Name }

func diff[T any](from, to []T, name func(T) string) Change[T] {
	var c Change[T]
	before := make(map[string]T, len(from))
	for _, e := range from {
		before[name(e)] = e
	}
	for _, e := range to {
		old, ok := before[name(e)]
		if !ok || !equal(old, e) {
			c.Set = append(c.Set, e)
		}
		delete(before, name(e))
	}
	for _, e := range from {
		if _, gone := before[name(e)]; gone {
			c.Removed = append(c.Removed, name(e))
		}
	}
	return c
}

func apply[T any](from []T, c Change[T], name func(T) string) []T {
	set := make(map[string]T, len(c.Set))
	for _, e := range c.Set {
		set[name(e)] = e
	}
	to := make([]T, 0, len(from)+len(c.Set))
	for _, e := range from {
		if slices.Contains(c.Removed, name(e)) {
			continue
		}
		if replaced, ok := set[name(e)]; ok {
			delete(set, name(e))
			e = replaced
		}
		to = append(to, e)
	}
	for _, e := range c.Set {
		if _, added := set[name(e)]; added {
			to = append(to, e)
		}
	}
	return to
}
