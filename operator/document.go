package operator

// EndpointKind is the protocol between the scheduler and an endpoint.
type EndpointKind string

const (
	// KindModel is a model engine that speaks the chat completions protocol.
	KindModel EndpointKind = "model"
	// KindService is a plain HTTP service. Callers address it by endpoint name and path.
	KindService EndpointKind = "service"
)

// Document is a whole configuration, as an operator submits it.
type Document struct {
	Fleet     Fleet      `json:"fleet"`
	Customers []Customer `json:"customers"`
	Programs  []Program  `json:"programs"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Fleet holds the values that must be the same on every VM.
type Fleet struct {
	// Seats is the largest number of VMs that may serve at the same time. The fallback
	// share of a customer's rate is the rate divided by Seats.
	Seats int `json:"seats"`
	// DrainedVMs lists the names of VMs that take no new work.
	DrainedVMs []string `json:"drained_vms,omitempty"`
}

// Customer is a tenant with its keys, limits and permissions.
type Customer struct {
	Name string `json:"name"`
	Keys []Key  `json:"keys"`
	// Rate is the number of requests per second across all VMs.
	Rate float64 `json:"rate"`
	// Burst is the number of requests above the rate that may arrive at once.
	Burst float64 `json:"burst"`
	// Weight is the customer's share of a busy endpoint relative to other customers; 0
	// means 1.
	Weight float64 `json:"weight"`
	// Endpoints lists the endpoints that the customer may call; "*" means all.
	Endpoints []string `json:"endpoints"`
	// Programs lists the agent programs that the customer may run; "*" means all.
	Programs []string `json:"programs"`
}

// Key is the entry of a caller's key, which contains only a digest of the key.
type Key struct {
	// ID identifies the key in status output and withdrawals. It is not secret.
	ID string `json:"id"`
	// SHA256 is the lower-case hexadecimal SHA-256 digest of the key.
	SHA256 string `json:"sha256"`
}

// Program declares an agent program and the budget of each of its runs. Callers name a
// run "<program>:<instance>".
type Program struct {
	Name   string `json:"name"`
	Budget Budget `json:"budget"`
	// IdleSeconds is the time without a turn after which a run is ended; 0 means the
	// default of 900 s.
	IdleSeconds int `json:"idle_seconds,omitempty"`
}

// Budget bounds one run of a program together with all its sub-agents. A zero field
// means no bound.
type Budget struct {
	Turns  int64 `json:"turns,omitempty"`
	Tokens int64 `json:"tokens,omitempty"`
	// WallSeconds bounds the time since the first turn.
	WallSeconds int64 `json:"wall_seconds,omitempty"`
	// MicroCost bounds the cost, in millionths of the currency unit.
	MicroCost int64 `json:"micro_cost,omitempty"`
}

// Endpoint declares a back end that calls are sent to, with its replicas.
type Endpoint struct {
	Name string       `json:"name"`
	Kind EndpointKind `json:"kind"`
	// Replicas lists addresses such as "127.0.0.1:9000". Replicas on the platform's VM
	// list with this endpoint's name are added to them.
	Replicas []string `json:"replicas,omitempty"`
	// Routes apply to plain services. The first match decides.
	Routes []Route `json:"routes,omitempty"`
	// Open admits requests without a key.
	Open bool `json:"open,omitempty"`
	// ChecksFence says that the engine refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Drained says that the endpoint takes no new work.
	Drained bool `json:"drained,omitempty"`
	// TimeoutSeconds bounds one call; 0 means the default of 120 s.
	TimeoutSeconds int `json:"timeout_seconds,omitempty"`
	// MaxConcurrent bounds the calls from the whole fleet in flight at one replica; 0
	// means the default of 32.
	MaxConcurrent int   `json:"max_concurrent,omitempty"`
	Price         Price `json:"price"`
	// Models lists the models that the endpoint's engines should have loaded. If it is
	// empty, the engines are not changed.
	Models []Model `json:"models,omitempty"`
	// LoadsPerMinute bounds the rate at which engines load models from the weight store;
	// 0 means no bound.
	LoadsPerMinute int `json:"loads_per_minute,omitempty"`
}

// Model is a model or adapter that engines load, in one version.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	// Replicas is the number of the endpoint's replicas that should hold the model.
	Replicas int `json:"replicas"`
	// Role is the role of the replicas that hold the model. If it is empty, their role is
	// not changed.
	Role string `json:"role,omitempty"`
}

// ID returns the model's name at the engines: its name, followed by "@" and the version
// if there is one.
func (m Model) ID() string {
	if m.Version == "" {
		return m.Name
	}
	return m.Name + "@" + m.Version
}

// Route declares the properties of calls of a plain service, by method and path prefix.
type Route struct {
	// Method is an HTTP method; empty matches every method.
	Method string `json:"method,omitempty"`
	// Prefix is compared with the path below the endpoint. It starts with "/".
	Prefix string `json:"prefix"`
	// Idempotent says that a call may be repeated if its outcome is unknown.
	Idempotent bool `json:"idempotent,omitempty"`
	// Open admits requests without a key on this route.
	Open bool `json:"open,omitempty"`
}

// Price is the price of an endpoint's calls, in millionths of the currency unit.
type Price struct {
	PerCall           int64 `json:"per_call,omitempty"`
	PerThousandTokens int64 `json:"per_thousand_tokens,omitempty"`
}
