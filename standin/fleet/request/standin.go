package request

import (
	"context"
	"encoding/json"
	"net/http"
)

// SetFaults replaces the injected faults of a stand-in. faults is a JSON object.
func SetFaults(ctx context.Context, address, faults string) error {
	_, err := Do(ctx, http.MethodPost, "http://"+address+"/_faults", faults, nil)
	return err
}

// RunCount returns how often a service has executed requests to a path.
func RunCount(ctx context.Context, address, path string) (int, error) {
	var counts struct{ Paths map[string]int }
	err := getJSON(ctx, "http://"+address+"/_counts", &counts)
	return counts.Paths[path], err
}

// CachedBlocks returns the number of cache blocks that an engine holds for each program.
func CachedBlocks(ctx context.Context, address string) (map[string]int, error) {
	var blocks struct{ Programs map[string]int }
	err := getJSON(ctx, "http://"+address+"/v1/cache/blocks", &blocks)
	return blocks.Programs, err
}

// InFlight returns the total number of running and waiting requests of an engine or a service.
func InFlight(ctx context.Context, address string) (int, error) {
	var load struct{ Running, Waiting int }
	err := getJSON(ctx, "http://"+address+"/v1/load", &load)
	return load.Running + load.Waiting, err
}

// SetVMs replaces the platform's list of VMs. list is a JSON array.
func SetVMs(ctx context.Context, address, list string) error {
	_, err := Do(ctx, http.MethodPut, "http://"+address+"/v1/vms", list, nil)
	return err
}

func getJSON(ctx context.Context, url string, target any) error {
	body, err := Do(ctx, http.MethodGet, url, "", nil)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(body), target)
}
