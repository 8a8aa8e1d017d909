package settings

import (
	"net/netip"
	"net/url"
	"time"
)

// Ranges and defaults. A bound without a comment only catches a wrong unit, such as
// "10ms" for "10s".
const (
	defaultTTL     = 10 * time.Second
	defaultSeatTTL = 3 * time.Minute
	maxSeatTTL     = time.Hour
	minTTL         = time.Second
	maxTTL         = 60 * time.Second

	defaultWrites = 300 // per second; the store sustains several hundred
	maxWrites     = 10_000

	defaultHold = 20 * time.Second
	maxHold     = 10 * time.Minute

	defaultPoll = time.Second
	minPoll     = 100 * time.Millisecond

	defaultFreshness = 3 * time.Second
	// maxFreshness is the time within which an accepted version has to be in force on
	// every VM. A VM that has not confirmed its version for longer must not admit requests.
	maxFreshness = 4 * time.Second

	defaultOrderWait = 2 * time.Second
	maxOrderWait     = time.Minute
	defaultRateWait  = 500 * time.Millisecond
	maxRateWait      = 10 * time.Second

	defaultDrainDelay = 5 * time.Second
	maxDrainDelay     = 10 * time.Minute
	defaultDrainLimit = 10 * time.Minute
	maxDrainLimit     = 24 * time.Hour

	// defaultTimeout is below the default freshness bound (3 s), so that a single lost
	// answer does not make the VM's version stale.
	defaultTimeout = 2 * time.Second
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = 30 * time.Second

	maxVerbosity = 10
)

// parse returns the settings, or nil if the text is not INI, and the reader that holds
// the faults.
func parse(name string, data []byte) (*Settings, *reader) {
	r := newReader(name, data)
	if r.file == nil {
		return nil, r
	}
	s := &Settings{
		VM: VM{
			ID:         r.name("vm", "id"),
			DataCentre: r.name("vm", "data_centre"),
			Region:     r.name("vm", "region"),
		},
		Caller:   r.listener("caller"),
		Peer:     r.peer(),
		Operator: r.operator(),
		Platform: r.platform(),
		Lease: Lease{
			TTL:     r.duration("lease", "ttl", defaultTTL, minTTL, maxTTL),
			SeatTTL: r.duration("lease", "seat_ttl", defaultSeatTTL, minTTL, maxSeatTTL),
		},
		Journal: Journal{
			WritesPerSecond: r.integer("journal", "writes_per_second", defaultWrites, 1, maxWrites),
			MaxWait:         r.duration("journal", "hold", defaultHold, 0, maxHold),
		},
		Poll:      Poll{Interval: r.duration("poll", "interval", defaultPoll, minPoll, maxFreshness)},
		Freshness: Freshness{Bound: r.duration("freshness", "bound", defaultFreshness, minPoll, maxFreshness)},
		Turns: Turns{
			OrderWait: r.duration("turns", "order_wait", defaultOrderWait, 0, maxOrderWait),
			RateWait:  r.duration("turns", "rate_wait", defaultRateWait, 0, maxRateWait),
		},
		Shutdown: Shutdown{
			DrainDelay: r.duration("shutdown", "drain_delay", defaultDrainDelay, 0, maxDrainDelay),
			DrainLimit: r.duration("shutdown", "drain_limit", defaultDrainLimit, 0, maxDrainLimit),
		},
		Log: Log{Verbosity: r.integer("log", "verbosity", 0, 0, maxVerbosity)},
	}
	if s.Poll.Interval >= s.Freshness.Bound {
		r.fault("poll", "interval", "must be shorter than the freshness bound (%s), otherwise the VM is stale between two polls", s.Freshness.Bound)
	}
	if s.Lease.SeatTTL < s.Lease.TTL {
		r.fault("lease", "seat_ttl", "must not be shorter than the lease's ttl (%s), otherwise the VM loses its seat between two renewals", s.Lease.TTL)
	}
	r.reportUnknown()
	return s, r
}

func (r *reader) listener(section string) Listener {
	l := Listener{
		Listen:    r.address(section, "listen"),
		Plaintext: r.boolean(section, "plaintext"),
		CertFile:  r.path(section, "tls_cert"),
		KeyFile:   r.path(section, "tls_key"),
	}
	if l.Plaintext {
		r.forbid(section, "with plaintext = true", "tls_cert", "tls_key")
	} else {
		r.require(section, "unless plaintext = true", "tls_cert", "tls_key")
	}
	return l
}

func (r *reader) peer() Peer {
	p := Peer{Listener: r.listener("peer"), Advertise: r.address("peer", "advertise")}
	p.CAFile = r.path("peer", "tls_ca")
	if p.Plaintext {
		r.forbid("peer", "with plaintext = true", "tls_ca")
	} else {
		r.require("peer", "unless plaintext = true", "tls_ca")
	}
	if p.Advertise.IsValid() && p.Advertise.Addr().IsUnspecified() {
		r.fault("peer", "advertise", "%s is an unspecified address, which other VMs cannot dial", p.Advertise)
	}
	return p
}

func (r *reader) operator() Operator {
	o := Operator{Listener: r.listener("operator")}
	o.CAFile = r.path("operator", "tls_ca")
	o.KeyDigest, o.HasKey = r.digest("operator", "key_sha256")
	if o.Plaintext {
		r.forbid("operator", "with plaintext = true", "tls_ca")
		r.require("operator", "with plaintext = true", "key_sha256")
	} else if o.CAFile == "" {
		r.require("operator", "unless tls_ca is set", "key_sha256")
	}
	return o
}

func (r *reader) platform() Platform {
	p := Platform{
		Timeout:   r.duration("platform", "timeout", defaultTimeout, minTimeout, maxTimeout),
		CAFile:    r.path("platform", "tls_ca"),
		Plaintext: r.boolean("platform", "plaintext"),
	}
	text, ok := r.requiredText("platform", "url")
	if !ok {
		return p
	}
	u, err := url.Parse(text)
	if err != nil {
		r.fault("platform", "url", "is not a URL: %v", err)
		return p
	}
	p.URL = u
	if _, err := netip.ParseAddrPort(u.Host); err != nil || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		r.fault("platform", "url", "must be https://IP:port with an optional path, without user, query and fragment")
	}
	switch {
	case u.Scheme != "http" && u.Scheme != "https":
		r.fault("platform", "url", "scheme %q must be https or http", u.Scheme)
	case u.Scheme == "http" && !p.Plaintext:
		r.fault("platform", "url", "http is allowed only with plaintext = true")
	case u.Scheme == "https" && p.Plaintext:
		r.fault("platform", "plaintext", "contradicts the https URL")
	}
	if p.Plaintext {
		r.forbid("platform", "with plaintext = true", "tls_ca")
	}
	return p
}
