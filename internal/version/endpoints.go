package version

import (
	"maps"
	"slices"
)

// Endpoints returns all endpoints in the order of their names.
func (v *Version) Endpoints() []*Endpoint {
	out := make([]*Endpoint, 0, len(v.endpoints))
	for _, name := range slices.Sorted(maps.Keys(v.endpoints)) {
		out = append(out, v.endpoints[name])
	}
	return out
}
