package endpointhttp

import "context"

// Order instructs an engine to load or unload a model or to change its role.
type Order struct {
	Kind  string `json:"kind"` // "load", "unload" or "role"
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
	// Fence is the fencing number. Some engines refuse a number below the highest that
	// they have seen.
	Fence uint64 `json:"fence"`
}

// SendOrder sends an order to the engine at address. An order may be repeated.
func (c *Client) SendOrder(ctx context.Context, address string, o Order) error {
	return c.exchangeJSON(ctx, replicaURL(address, "/v1/orders"), o, nil)
}
