package settings

import (
	"crypto/sha256"
	"net/netip"
	"net/url"
	"os"
	"time"
)

// Settings are the checked settings of one process.
type Settings struct {
	VM        VM
	Caller    Listener
	Peer      Peer
	Operator  Operator
	Platform  Platform
	Lease     Lease
	Journal   Journal
	Poll      Poll
	Freshness Freshness
	Turns     Turns
	Shutdown  Shutdown
	Log       Log
}

// VM identifies the machine that the process runs on.
type VM struct {
	ID         string
	DataCentre string
	Region     string
}

// Listener holds the address and the TLS files of a server port. CertFile, KeyFile and
// CAFile are empty if Plaintext is set.
type Listener struct {
	Listen    netip.AddrPort
	CertFile  string
	KeyFile   string
	CAFile    string // authority whose client certificates are accepted
	Plaintext bool
}

// Peer is the port for other VMs.
type Peer struct {
	Listener
	// Advertise is the address that other VMs dial.
	Advertise netip.AddrPort
}

// Operator is the operators' port. At least one of the key and the client
// certificate authority (CAFile) is set.
type Operator struct {
	Listener
	// KeyDigest is the SHA-256 digest of the operators' key. It is valid only if HasKey
	// is set.
	KeyDigest [sha256.Size]byte
	HasKey    bool
}

// Platform holds how the process connects to the platform's services.
type Platform struct {
	URL       *url.URL
	Timeout   time.Duration // of one request
	CAFile    string        // if empty, the authorities of the operating system apply
	Plaintext bool
}

// Lease holds the lifetimes of the VM's lease and of its seat.
type Lease struct {
	TTL time.Duration
	// SeatTTL is how long the VM may use its shares of the customers' rates without
	// renewing its lease, and how long its seat stays locked after its eviction.
	SeatTTL time.Duration
}

// Journal holds the limits of the journal's group commit.
type Journal struct {
	// WritesPerSecond is the write budget of the whole fleet at the store.
	WritesPerSecond int
	// MaxWait is the longest time that the end of a response waits for its journal
	// transaction.
	MaxWait time.Duration
}

// Poll holds the interval at which the store is read.
type Poll struct {
	Interval time.Duration
}

// Freshness holds how long a VM admits requests after its version was last confirmed.
type Freshness struct {
	Bound time.Duration
}

// Turns holds how long a turn waits before it is refused.
type Turns struct {
	OrderWait time.Duration // for the preceding turn
	RateWait  time.Duration // for tokens of the customer's rate limit
}

// Shutdown holds the durations of a graceful shutdown.
type Shutdown struct {
	DrainDelay time.Duration // from "not ready" until no new connections are accepted
	DrainLimit time.Duration // for running requests to end
}

// Log holds the log verbosity (klog's -v).
type Log struct {
	Verbosity int
}

// Load reads and checks a settings file, and checks that the files named in it can be
// opened. The error is an *Error that lists all faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Faults: []Fault{{File: path, Message: err.Error()}}}
	}
	s, r := parse(path, data)
	r.checkFiles()
	return r.result(s)
}

// Parse checks the text of a settings file. name is the file name in errors, and
// relative paths are resolved against its directory. Files named in the text are not
// opened.
func Parse(name string, data []byte) (*Settings, error) {
	s, r := parse(name, data)
	return r.result(s)
}
