// Package operatorhttp is the HTTP server and client for operators. It only encodes and
// authenticates requests. A Backend decides what they do, so that another front end can
// use the same one. Connections hold no state beyond that of net/http: every request is
// authenticated by itself.
package operatorhttp

import (
	"context"

	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/operator"
)

// Backend carries out the operations of operators. Its errors are *Error, or
// *version.DocumentError for a faulty document. Other errors are reported as internal.
//
// Submit, WithdrawKey and Drain take a submission id. A repeat with the id of a change
// that is in force returns the version of that change, so that a client may repeat a
// request whose answer was lost.
type Backend interface {
	// Submit replaces the configuration.
	Submit(ctx context.Context, s Submission) (Accepted, error)
	// Current returns the configuration in force.
	Current(ctx context.Context) (Configuration, error)
	// WithdrawKey removes one key of a customer.
	WithdrawKey(ctx context.Context, w KeyWithdrawal) (Accepted, error)
	// Drain stops or resumes new work at an endpoint or a VM.
	Drain(ctx context.Context, d Drain) (Accepted, error)
	// Status returns the status of the fleet.
	Status(ctx context.Context) (Status, error)
	// Events returns the time line of a run, with the events of all VMs.
	Events(ctx context.Context, run string) (EventPage, error)
	// Settle records the outcome of a call whose outcome is unknown. It may be repeated
	// with the same outcome.
	Settle(ctx context.Context, s Settlement) error
}

// Submission replaces the whole configuration.
type Submission struct {
	// Base is the version from which the document was made. The submission is refused
	// with a conflict if another version is in force.
	Base         uint64             `json:"base"`
	SubmissionID string             `json:"submission_id"`
	Document     *operator.Document `json:"document"`
}

// Accepted is the answer to a change of the configuration.
type Accepted struct {
	Version      uint64 `json:"version"`
	SubmissionID string `json:"submission_id"`
}

// Configuration is the configuration in force and its version.
type Configuration struct {
	Version  uint64             `json:"version"`
	Document *operator.Document `json:"document"`
}

// KeyWithdrawal removes one key of a customer.
type KeyWithdrawal struct {
	Customer     string `json:"customer"`
	KeyID        string `json:"key_id"`
	SubmissionID string `json:"submission_id"`
}

// Drain stops new work at an endpoint or at a VM. Exactly one of Endpoint and VM is set.
type Drain struct {
	Endpoint string `json:"endpoint,omitempty"`
	VM       string `json:"vm,omitempty"`
	// Undo ends an earlier drain.
	Undo         bool   `json:"undo,omitempty"`
	SubmissionID string `json:"submission_id"`
}

// Settlement is the outcome that an operator gives to a call whose outcome is unknown.
type Settlement struct {
	Run       string `json:"run"`
	RequestID string `json:"request_id"`
	// Outcome is "ran" or "not_run".
	Outcome refusal.RunState `json:"outcome"`
}

// Status describes the fleet as the answering VM sees it.
type Status struct {
	VM        string           `json:"vm"` // the answering VM
	Version   uint64           `json:"version"`
	VMs       []VMStatus       `json:"vms"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// VMStatus describes one VM.
type VMStatus struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"version"`
	Slots      int    `json:"slots"`
	Programs   int    `json:"programs"`
	LeaseValid bool   `json:"lease_valid"`
	Stale      bool   `json:"stale"`
	Drained    bool   `json:"drained"`
	// Fault is why the VM's own values are missing; empty if it answered.
	Fault string `json:"fault,omitempty"`
}

// EndpointStatus describes one endpoint and its replicas.
type EndpointStatus struct {
	Name     string          `json:"name"`
	Drained  bool            `json:"drained"`
	Replicas []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus describes one replica.
type ReplicaStatus struct {
	Address  string `json:"address"`
	Live     bool   `json:"live"`
	Leaving  bool   `json:"leaving"`
	InFlight int    `json:"in_flight"` // calls from the whole fleet
	Waiting  int    `json:"waiting"`   // calls queued at the replica
}

// EventPage is the time line of a run.
type EventPage struct {
	Events []eventlog.Event `json:"events"`
	// MissingVMs lists the VMs that did not answer and whose events may therefore be
	// missing.
	MissingVMs []string `json:"missing,omitempty"`
}

// check returns a bad_request error if a field that every backend needs is missing or
// not valid.
func (s Submission) check() error {
	switch {
	case s.SubmissionID == "":
		return NewError(BadRequest, "submission_id must not be empty")
	case s.Document == nil:
		return NewError(BadRequest, "document must not be empty")
	}
	return nil
}

func (w KeyWithdrawal) check() error {
	if w.Customer == "" || w.KeyID == "" || w.SubmissionID == "" {
		return NewError(BadRequest, "customer, key_id and submission_id must not be empty")
	}
	return nil
}

func (d Drain) check() error {
	switch {
	case d.SubmissionID == "":
		return NewError(BadRequest, "submission_id must not be empty")
	case (d.Endpoint == "") == (d.VM == ""):
		return NewError(BadRequest, "exactly one of endpoint and vm must be given")
	}
	return nil
}

func (s Settlement) check() error {
	switch {
	case s.Run == "" || s.RequestID == "":
		return NewError(BadRequest, "run and request_id must not be empty")
	case s.Outcome != refusal.Ran && s.Outcome != refusal.NotRun:
		return NewError(BadRequest, "outcome %q must be %q or %q", s.Outcome, refusal.Ran, refusal.NotRun)
	}
	return nil
}
