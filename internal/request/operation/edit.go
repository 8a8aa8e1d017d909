package operation

import (
	"slices"
	"strings"

	"hornbeamvale.example/hornbeamvale/internal/connection/operatorhttp"
	"hornbeamvale.example/hornbeamvale/operator"
)

// removeKey removes a key of a customer.
func removeKey(d *operator.Document, customer, keyID string) error {
	for i := range d.Customers {
		c := &d.Customers[i]
		if c.Name != customer {
			continue
		}
		at := slices.IndexFunc(c.Keys, func(k operator.Key) bool { return k.ID == keyID })
		if at < 0 {
			return operatorhttp.NewError(operatorhttp.NotFound, "customer %q has no key %q", customer, keyID)
		}
		c.Keys = slices.Delete(c.Keys, at, at+1)
		return nil
	}
	return operatorhttp.NewError(operatorhttp.NotFound, "customer %q is not declared", customer)
}

// drainVM drains a VM or, with undo, ends the drain.
func drainVM(d *operator.Document, vm string, undo bool) {
	d.Fleet.DrainedVMs = slices.DeleteFunc(d.Fleet.DrainedVMs, func(v string) bool { return v == vm })
	if !undo {
		d.Fleet.DrainedVMs = append(d.Fleet.DrainedVMs, vm)
	}
}

// drainEndpoint drains an endpoint or, with undo, ends the drain.
func drainEndpoint(d *operator.Document, endpoint string, undo bool) error {
	for i := range d.Endpoints {
		if d.Endpoints[i].Name == endpoint {
			d.Endpoints[i].Drained = !undo
			return nil
		}
	}
	return operatorhttp.NewError(operatorhttp.NotFound, "endpoint %q is not declared", endpoint)
}

// splitRun splits "<customer>/<run>" into its parts. The run may contain slashes.
func splitRun(s string) (customer, run string, err error) {
	customer, run, ok := strings.Cut(s, "/")
	if !ok || customer == "" || run == "" {
		return "", "", operatorhttp.NewError(operatorhttp.BadRequest, "the run must be given as <customer>/<run>")
	}
	return customer, run, nil
}
