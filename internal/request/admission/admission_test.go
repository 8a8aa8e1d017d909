package admission_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/request/admission"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/operator"
)

// localState returns the state of a VM that may admit calls, with a small configuration.
func localState(t *testing.T) admission.LocalState {
	doc := &operator.Document{
		Fleet: operator.Fleet{Seats: 1, DrainedVMs: []string{"entry-09"}},
		Customers: []operator.Customer{
			{Name: "alice", Keys: []operator.Key{operator.NewKey("k", "alice-key")}, Rate: 1, Burst: 1, Endpoints: []string{"ledger", "agents"}, Programs: []string{"booking"}},
			{Name: "bob", Keys: []operator.Key{operator.NewKey("k", "bob-key")}, Rate: 1, Burst: 1, Programs: []string{"*"}},
		},
		Programs: []operator.Program{{Name: "booking"}, {Name: "sweep"}},
		Endpoints: []operator.Endpoint{
			{Name: "agents", Kind: operator.KindModel},
			{Name: "ledger", Kind: operator.KindService, Routes: []operator.Route{
				{Method: "GET", Prefix: "/", Idempotent: true}, {Method: "POST", Prefix: "/ping", Idempotent: true, Open: true},
			}},
		},
	}
	v, err := version.Compile(doc, 1)
	require.NoError(t, err)
	return admission.LocalState{Version: v, VM: "entry-01", Joined: true, Fresh: true}
}

// service returns a call of the plain service endpoint.
func service(method, path, run, id string, turn uint64) *call.Call {
	return &call.Call{Endpoint: "ledger", Run: run, RequestID: id, Turn: turn, Service: &call.Service{Method: method, Path: path}}
}

// TestCheck guards against a call that is admitted without its customer's permission, and
// against a non-idempotent call whose repeat could not be recognised.
func TestCheck(t *testing.T) {
	chat := &call.Call{Endpoint: "agents", Chat: &call.Chat{}}
	for _, c := range []struct {
		name, key string
		call      *call.Call
		want      refusal.Code // empty: admitted
	}{
		{"chat", "alice-key", chat, ""},
		{"wrong key", "mallory", chat, refusal.Unauthenticated},
		{"no key", "", chat, refusal.Unauthenticated},
		{"another customer's endpoint", "bob-key", chat, refusal.Forbidden},
		{"unknown endpoint", "alice-key", &call.Call{Endpoint: "x", Chat: &call.Chat{}}, refusal.EndpointUnknown},
		{"chat at a service", "alice-key", &call.Call{Endpoint: "ledger", Chat: &call.Chat{}}, refusal.BadRequest},
		{"program not granted", "alice-key", service("GET", "/", "sweep:1", "", 0), refusal.Forbidden},
		{"program not declared", "bob-key", service("POST", "/ping", "other:1", "", 0), refusal.Forbidden},
		{"open route without a key", "", service("POST", "/ping", "", "", 0), ""},
		{"program without a key", "", service("POST", "/ping", "booking:1", "", 0), refusal.Unauthenticated},
		{"open route with a wrong key", "mallory", service("POST", "/ping", "", "", 0), refusal.Unauthenticated},
		{"idempotent call", "alice-key", service("GET", "/lots", "", "", 0), ""},
		{"payout alone", "alice-key", service("POST", "/pay", "", "", 0), refusal.IdempotencyKeyRequired},
		{"payout with an id", "alice-key", service("POST", "/pay", "", "p1", 0), ""},
		{"payout with a program and a turn", "alice-key", service("POST", "/pay", "booking:1", "", 3), ""},
		{"payout with a program alone", "alice-key", service("POST", "/pay", "booking:1", "", 0), refusal.IdempotencyKeyRequired},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, why := admission.Check(localState(t), c.key, c.call)
			if c.want == "" {
				require.Nil(t, why)
				return
			}
			require.NotNil(t, why)
			require.Equal(t, c.want, why.Code)
			require.Equal(t, refusal.NotRun, why.Run)
		})
	}
}

// TestVMState guards against a VM that admits calls without a seat, with a configuration
// that it cannot confirm, while it stops, or while it is drained.
func TestVMState(t *testing.T) {
	chat := &call.Call{Endpoint: "agents", Chat: &call.Chat{}}
	for want, change := range map[refusal.Code]func(*admission.LocalState){
		refusal.OwnerUnavailable:   func(s *admission.LocalState) { s.Joined = false },
		refusal.StaleConfiguration: func(s *admission.LocalState) { s.Fresh = false },
		refusal.Stopping:           func(s *admission.LocalState) { s.VM = "entry-09" },
	} {
		s := localState(t)
		change(&s)
		_, why := admission.Check(s, "alice-key", chat)
		require.NotNil(t, why)
		require.Equal(t, want, why.Code)
		require.NotZero(t, why.RetryAfter, "another VM may serve the call")
	}
}
