// Package platform holds the state of the platform stand-in: tables, objects and the
// list of VMs. docs/platform.md describes the protocol. The types are declared separately
// from those of the client, so that the client's tests detect a difference between the
// two.
package platform

// Key names one row.
type Key struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// Row is one row as returned by a read. Revision 0 means that the row is absent.
type Row struct {
	Key
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Condition requires that a row has the given revision. 0 requires that it is absent.
type Condition struct {
	Key
	Revision uint64 `json:"revision"`
}

// Write sets or deletes one row.
type Write struct {
	Key
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is the body of POST /v1/tx.
type Tx struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// TxResult is the response to POST /v1/tx. Failed holds the indexes of the conditions
// that do not hold.
type TxResult struct {
	Committed bool   `json:"committed"`
	Revision  uint64 `json:"revision,omitempty"`
	Failed    []int  `json:"failed,omitempty"`
}

// Since requests the rows of a table that changed after a revision.
type Since struct {
	Table    string `json:"table"`
	Prefix   string `json:"prefix,omitempty"`
	Revision uint64 `json:"revision"`
	Limit    int    `json:"limit,omitempty"`
}

// Read is the body of POST /v1/read.
type Read struct {
	Gets  []Key   `json:"gets,omitempty"`
	Since []Since `json:"since,omitempty"`
}

// ReadResult is the response to POST /v1/read. Changes and More have an element for each
// element of Read.Since.
type ReadResult struct {
	Revision uint64  `json:"revision"`
	Rows     []Row   `json:"rows,omitempty"`
	Changes  [][]Row `json:"changes,omitempty"`
	More     []bool  `json:"more,omitempty"`
}

// VM is an element of the list of VMs.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Endpoint   string `json:"endpoint,omitempty"`
	State      string `json:"state"`
}

// Faults is the body of POST /_faults. It replaces all injected faults.
type Faults struct {
	// DelayMS delays each response after the request has taken effect, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Outage refuses every request; a refused request has no effect.
	Outage bool `json:"outage"`
	// LoseAnswers is the number of transactions that still take effect and then close the
	// connection in place of a response.
	LoseAnswers int `json:"lose_answers"`
	// VMListLagMS is the delay after which a change of the VM list is visible, in
	// milliseconds.
	VMListLagMS int `json:"vm_list_lag_ms"`
}
