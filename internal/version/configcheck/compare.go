package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"hornbeamvale.example/hornbeamvale/internal/version/routing"
	"hornbeamvale.example/hornbeamvale/operator"
)

// Difference is a change from one configuration to the next.
type Difference struct {
	Entry  string `json:"entry"`
	Change string `json:"change"`
	Effect string `json:"effect"` // what callers will see
}

type comparison struct {
	old, new    Input
	differences []Difference
}

func (c *comparison) add(entry, change, effect string) {
	c.differences = append(c.differences, Difference{entry, change, effect})
}

// changed adds a difference if the values differ. The effect depends on whether the new
// value is lower than the old one.
func changed[T cmp.Ordered](c *comparison, entry, what string, before, after T, lower, higher string) {
	switch {
	case after < before:
		c.add(entry, fmt.Sprintf("%s %v, was %v", what, after, before), lower)
	case after > before:
		c.add(entry, fmt.Sprintf("%s %v, was %v", what, after, before), higher)
	}
}

// Compare returns the differences by route, endpoint, customer and key. It fails if VMs
// refuse the new document.
func Compare(before, after Input) ([]Difference, error) {
	table, err := routing.Compile(after.Document)
	if err != nil {
		return nil, err
	}
	c := &comparison{old: before, new: after}
	c.routes(table)
	c.endpoints()
	c.customers()
	c.keys()
	c.limits()
	return c.differences, nil
}

// byName pairs the entries of both documents that have the same name, the old ones
// first. The one that is missing is nil.
func byName[T any](before, after []T, name func(T) string, each func(name string, before, after *T)) {
	find := func(list []T, n string) *T {
		if i := slices.IndexFunc(list, func(e T) bool { return name(e) == n }); i >= 0 {
			return &list[i]
		}
		return nil
	}
	seen := map[string]bool{}
	for _, e := range slices.Concat(before, after) {
		if n := name(e); !seen[n] {
			seen[n] = true
			each(n, find(before, n), find(after, n))
		}
	}
}

func (c *comparison) routes(table *routing.Table) {
	name := func(r routing.Route) string { return cmp.Or(r.Name, r.Host+r.Prefix) }
	byName(c.old.Routes, c.new.Routes, name, func(n string, before, after *routing.Route) {
		entry := fmt.Sprintf("route %q", n)
		switch {
		case after == nil:
			c.add(entry, "removed", gone(table, before))
		case before == nil:
			c.add(entry, "added", "requests under "+after.Host+after.Prefix+" are served")
		default:
			c.route(table, entry, before, after)
		}
	})
}

// gone says what becomes of the requests of a route that no longer has its place.
func gone(table *routing.Table, r *routing.Route) string {
	if other, ok := table.Match(r.Host, r.Prefix); ok {
		return fmt.Sprintf("requests under %s%s go to route %q", r.Host, r.Prefix, other.Name)
	}
	return "requests under " + r.Host + r.Prefix + " get 404"
}

func (c *comparison) route(table *routing.Table, entry string, before, after *routing.Route) {
	if before.Host != after.Host || before.Prefix != after.Prefix {
		c.add(entry, fmt.Sprintf("at %s%s, was %s%s", after.Host, after.Prefix, before.Host, before.Prefix), gone(table, before))
	}
	if before.Kind != after.Kind {
		c.add(entry, "type changed", "other requests may be repeated, and answers may be relayed in another way")
	}
	if !slices.Equal(before.Targets, after.Targets) {
		c.add(entry, fmt.Sprintf("services %v, was %v", after.Targets, before.Targets), "requests are divided among the services in another way")
	}
	if before.Open != after.Open {
		effect := "requests need a key; without one they get 401"
		if after.Open {
			effect = "requests need no key; the rates of customers do not apply"
		}
		c.add(entry, fmt.Sprintf("public %v, was %v", after.Open, before.Open), effect)
	}
	switch {
	case before.Timeout > 0 && after.Timeout == 0:
		c.add(entry, fmt.Sprintf("no timeout, was %v", before.Timeout), "requests are no longer ended for their time")
	case before.Timeout == 0 && after.Timeout > 0:
		c.add(entry, fmt.Sprintf("timeout %v, was none", after.Timeout), "requests are ended after this time")
	default:
		changed(c, entry, "timeout", before.Timeout, after.Timeout, "requests are ended earlier", "requests are ended later")
	}
	changed(c, entry, "priority", before.Priority, after.Priority, "requests are served before more others", "requests wait for more others and are refused earlier under overload")
	changed(c, entry, "attempts", before.MaxAttempts, after.MaxAttempts, "more failures of replicas reach callers", "fewer failures of replicas reach callers")
	changed(c, entry, "latency target", before.LatencyTarget, after.LatencyTarget, "answers are on time only if they are faster", "slower answers are on time")
	changed(c, entry, "gap target", before.GapTarget, after.GapTarget, "streams are on time only if their pauses are shorter", "streams with longer pauses are on time")
	changed(c, entry, "retention", before.Retention, after.Retention, "turns that continue an older turn are refused earlier", "older turns can be continued")
	for _, f := range []struct {
		what          string
		before, after bool
		effect        string
	}{
		{"history", before.KeepsHistory, after.KeepsHistory, "turns are put before those that continue them only with it"},
		{"resumable", before.Resumable, after.Resumable, "streams that break off go on at another replica only with it"},
		{"sticky", before.Sticky, after.Sticky, "requests for the same object prefer the same replica only with it"},
	} {
		if f.before != f.after {
			c.add(entry, fmt.Sprintf("%s %v, was %v", f.what, f.after, f.before), f.effect)
		}
	}
	c.regions(entry, before.Regions, after.Regions)
}

func (c *comparison) regions(entry string, before, after []string) {
	if !slices.Equal(before, after) {
		c.add(entry, fmt.Sprintf("regions [%s], was [%s]", strings.Join(after, " "), strings.Join(before, " ")), "requests go only to replicas there (everywhere if empty), or get 503")
	}
}

func (c *comparison) endpoints() {
	byName(c.old.Endpoints, c.new.Endpoints, func(e routing.Endpoint) string { return e.Name }, func(n string, before, after *routing.Endpoint) {
		entry := fmt.Sprintf("service %q", n)
		switch {
		case after == nil:
			c.add(entry, "removed", "routes that name it still send to its replicas, without its limits")
		case before == nil:
			c.add(entry, "added", "none until a route names it")
		case *before != *after:
			if before.ColdRate != after.ColdRate {
				c.add(entry, fmt.Sprintf("cold rate %v/s, was %v/s", after.ColdRate, before.ColdRate), "cold replicas get requests at this rate (0: without a limit)")
			}
			if before.EventTokens != after.EventTokens || before.MemoryTokens != after.MemoryTokens {
				c.add(entry, "runtime changed", "the load of its replicas is estimated in another way")
			}
		}
	})
}

func (c *comparison) customers() {
	byName(c.old.Customers, c.new.Customers, func(x operator.Customer) string { return x.Name }, func(n string, before, after *operator.Customer) {
		entry := fmt.Sprintf("customer %q", n)
		switch {
		case after == nil:
			c.add(entry, "removed", "its keys get 401 unless another customer has them")
		case before == nil:
			c.add(entry, "added", "its keys are accepted")
		default:
			c.allowance(entry, c.old.allowanceOf(n), c.new.allowanceOf(n))
			was, wasStated := c.old.Priorities[n]
			is, isStated := c.new.Priorities[n]
			if was != is || wasStated != isStated {
				c.add(entry, fmt.Sprintf("priority %s, was %s", priority(is, isStated), priority(was, wasStated)), "its requests are served in another order; a lower one is served first")
			}
			c.regions(entry, c.old.Regions[n], c.new.Regions[n])
		}
	})
}

// allowanceOf returns the limit of a customer as it is stated.
func (in Input) allowanceOf(customer string) Allowance {
	i := slices.IndexFunc(in.Customers, func(x operator.Customer) bool { return x.Name == customer })
	return in.Allowances[i]
}

func (c *comparison) allowance(entry string, before, after Allowance) {
	const earlier, later = "its requests get 429 earlier", "its requests get 429 later"
	switch {
	case before.Rate <= 0 && after.Rate <= 0:
	case before.Rate <= 0:
		c.add(entry, fmt.Sprintf("rate %v/s, burst %v, was no limit", after.Rate, after.Burst), "its requests above the limit get 429")
	case after.Rate <= 0:
		c.add(entry, fmt.Sprintf("no limit, was rate %v/s, burst %v", before.Rate, before.Burst), "its requests no longer get 429 for its rate")
	default:
		changed(c, entry, "rate/s", before.Rate, after.Rate, earlier, later)
		changed(c, entry, "burst", before.Burst, after.Burst, earlier, later)
	}
}

func priority(value int, stated bool) string {
	if !stated {
		return "that of the route"
	}
	return fmt.Sprint(value)
}

// ownedKey is a key with the customer to whom it belongs.
type ownedKey struct {
	operator.Key
	customer string
}

func ownedKeys(d routing.Document) (keys []ownedKey) {
	for _, x := range d.Customers {
		for _, k := range x.Keys {
			keys = append(keys, ownedKey{k, x.Name})
		}
	}
	return keys
}

func (c *comparison) keys() {
	byName(ownedKeys(c.old.Document), ownedKeys(c.new.Document), func(k ownedKey) string { return k.SHA256 }, func(_ string, before, after *ownedKey) {
		switch {
		case after == nil:
			c.add(fmt.Sprintf("key %s of customer %q", digest(before.Key), before.customer), "removed", "requests with it get 401, except on public routes")
		case before == nil:
			c.add(fmt.Sprintf("key %s of customer %q", digest(after.Key), after.customer), "added", "requests with it are accepted")
		case before.customer != after.customer:
			c.add(fmt.Sprintf("key %s of customer %q", digest(after.Key), after.customer), fmt.Sprintf("was of customer %q", before.customer), "requests with it count for the new customer")
		}
	})
}

func (c *comparison) limits() {
	before, after := c.old.Limits, c.new.Limits
	const entry = "limits"
	changed(c, entry, "head bytes", before.MaxHeaderBytes, after.MaxHeaderBytes, "smaller heads get 431 (0: the default)", "larger heads pass")
	changed(c, entry, "body bytes", before.MaxBodyBytes, after.MaxBodyBytes, "smaller bodies get 413 (0: the default)", "larger bodies pass")
	changed(c, entry, "head timeout", before.HeaderTimeout, after.HeaderTimeout, "slow heads are ended earlier (0: the default)", "slower heads pass")
	changed(c, entry, "idle timeout", before.IdleTimeout, after.IdleTimeout, "idle connections are closed earlier (0: the default)", "idle connections are closed later")
}
