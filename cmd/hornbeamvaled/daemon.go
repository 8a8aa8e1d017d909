package main

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"flag"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"hornbeamvale.example/hornbeamvale/internal/connection/callerhttp"
	"hornbeamvale.example/hornbeamvale/internal/connection/conntrack"
	"hornbeamvale.example/hornbeamvale/internal/connection/endpointhttp"
	"hornbeamvale.example/hornbeamvale/internal/connection/operatorhttp"
	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/connection/tlsconfig"
	"hornbeamvale.example/hornbeamvale/internal/process/bodies"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/queue"
	"hornbeamvale.example/hornbeamvale/internal/process/settings"
	"hornbeamvale.example/hornbeamvale/internal/request/operation"
	"hornbeamvale.example/hornbeamvale/internal/request/placement"
	"hornbeamvale.example/hornbeamvale/internal/request/turn"
)

const (
	// bodyCacheBytes limits the program histories cached in memory. A cache miss costs
	// one read of the object store.
	bodyCacheBytes = 256 << 20
	// peerTimeout limits a request to another VM that has a single reply.
	peerTimeout = 2 * time.Second
)

// daemon holds the servers, clients and control loop of a process that runs with a
// settings file.
type daemon struct {
	settings *settings.Settings
	peerTLS  *tls.Config // nil for plain TCP
	loop     *control.Loop
	peers    *peer.Manager
	client   *endpointhttp.Client
	counters *turn.Counters

	callers   *http.Server
	operators *http.Server
}

// serve runs the daemon until ctx ends and then shuts it down gracefully.
func serve(ctx context.Context, s *settings.Settings) error {
	d, err := newDaemon(s)
	if err != nil {
		return err
	}
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	failed := make(chan error, 3)
	wg.Go(func() { d.loop.Run(running) })
	wg.Go(func() { reportFailure(failed, d.peers.Serve(running, listeners.peer)) })
	wg.Go(func() { reportFailure(failed, d.callers.Serve(listeners.caller)) })
	wg.Go(func() { reportFailure(failed, d.operators.Serve(listeners.operator)) })
	klog.InfoS("Serving", "vm", s.VM.ID, "callers", s.Caller.Listen, "peers", s.Peer.Listen, "operators", s.Operator.Listen)
	select {
	case <-ctx.Done():
		d.shutdown()
	case err = <-failed:
	}
	cancel()
	d.peers.Close()
	_ = d.operators.Close()
	_ = d.callers.Close()
	wg.Wait()
	d.client.Close()
	return err
}

// reportFailure sends err to failed unless it is the result of a regular shutdown.
func reportFailure(failed chan<- error, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, context.Canceled) && !errors.Is(err, net.ErrClosed) {
		failed <- err
	}
}

// newDaemon creates the parts of the daemon from its settings and connects them. It
// opens no listener.
func newDaemon(s *settings.Settings) (*daemon, error) {
	peerTLS, peerDial, err := loadPeerTLS(s)
	if err != nil {
		return nil, err
	}
	platformTLS, err := loadPlatformTLS(s)
	if err != nil {
		return nil, err
	}
	store := platform.New(s.Platform.URL.String(), s.Platform.Timeout, platformTLS)
	log := eventlog.New(s.VM.ID, eventlog.DefaultCapacity)
	client := endpointhttp.New()
	client.OnSilentClose = func(c conntrack.SilentClose) {
		klog.InfoS("Closed silent connections", "peer", "replica", "address", c.Address, "closed", c.Closed, "silent", c.Silent, "evidence", c.Evidence)
	}
	counters := turn.NewCounters()
	limits := turn.WaitLimits{
		RateWait: s.Turns.RateWait, OrderWait: s.Turns.OrderWait, QueueWait: queue.MaxWait, JournalWait: s.Journal.MaxWait,
		// After the owner of a slot fails, the slot has a new owner within 1.2 times the
		// lease TTL plus two poll intervals.
		OwnerWait: s.Lease.TTL*6/5 + 3*s.Poll.Interval,
	}
	server := &turn.Server{Log: log}
	peers := peer.NewManager(s.VM.ID, peerDial, server)
	peers.SetObserver(peerLog{klog.InfoS})
	remote := &turn.Remote{Manager: peers, Timeout: peerTimeout}
	loop := control.NewLoop(control.Config{
		Info: member.Info{
			VM: s.VM.ID, Address: s.Peer.Advertise.String(), Operator: s.Operator.Listen.String(),
			DataCentre: s.VM.DataCentre, Region: s.VM.Region,
		},
		NewMemberID: func() string { return s.VM.ID + "." + rand.Text()[:12] },
		Platform:    store, EventLog: log, LeaseTTL: s.Lease.TTL, SeatTTL: s.Lease.SeatTTL,
		PollInterval: s.Poll.Interval, FreshnessBound: s.Freshness.Bound,
		WritesPerSecond: float64(s.Journal.WritesPerSecond),
		ReleaseCache:    turn.ReleaseCache(client), ReleaseOrphanedCache: client.ReleaseCache, Peers: remote, Endpoints: turn.ReplicaAdapter{Client: client},
		Picker: placement.Picker{Profile: placement.DefaultProfile()},
	})
	dispatcher := &turn.Dispatcher{Loop: loop, Client: client, Limits: limits, Log: log, Counters: counters}
	owner := &turn.Owner{
		Loop: loop, Dispatcher: dispatcher, Limits: limits, Log: log, Counters: counters,
		History: &turn.HistoryReader{Bodies: bodies.New(store, bodyCacheBytes)},
	}
	server.Loop, server.Owner = loop, owner
	entry := &turn.Entry{Loop: loop, Forwarder: remote, Owner: owner, Limits: limits, Log: log, Counters: counters}
	d := &daemon{settings: s, peerTLS: peerTLS, loop: loop, peers: peers, client: client, counters: counters}
	d.callers = &http.Server{Handler: callerhttp.NewHandler(entry, callerhttp.Options{}), ReadHeaderTimeout: 10 * time.Second}
	metricsHandler, err := newMetrics(d)
	if err != nil {
		return nil, err
	}
	d.operators = operatorhttp.NewServer(operatorhttp.ServerOptions{
		Backend:   &operation.Backend{Loop: loop, Platform: store, Remote: remote, Entry: entry, Log: log},
		KeyDigest: s.Operator.KeyDigest, HasKey: s.Operator.HasKey, Metrics: metricsHandler, Ready: d.ready,
	})
	return d, nil
}

var (
	errStopping = errors.New("the VM is stopping")
	errNoSeat   = errors.New("the VM has no seat")
	errStale    = errors.New("the configuration is not confirmed")
	errNoLease  = errors.New("the lease has expired")
)

// ready returns nil if the load balancer may send traffic to this VM, otherwise the
// reason why it should not.
func (d *daemon) ready() error {
	s, now := d.loop.Snapshot(), clock.Now()
	switch {
	case s.Draining:
		return errStopping
	case !s.Joined:
		return errNoSeat
	case !s.ConfigurationFresh(now):
		return errStale
	case !s.LeaseValid(now):
		return errNoLease
	}
	return nil
}

// shutdown stops the daemon gracefully. It reports not ready to the load balancer and
// waits for the drain delay, completes running requests, hands the slots over to other
// members and ends the membership. The drain limit applies to all steps together.
func (d *daemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Shutdown.DrainLimit)
	defer cancel()
	done := make(chan struct{})
	if d.loop.Post(ctx, control.PrepareStop{}) != nil {
		return
	}
	clock.Sleep(ctx, d.settings.Shutdown.DrainDelay)
	if err := d.callers.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "Requests were still running at the drain limit", "drainLimit", d.settings.Shutdown.DrainLimit)
	}
	if d.loop.Post(ctx, control.Stop{Done: done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
		klog.InfoS("Membership was not ended at the drain limit; it expires with its lease",
			"drainLimit", d.settings.Shutdown.DrainLimit, "leaseTTL", d.settings.Lease.TTL)
	}
}

type listeners struct{ caller, peer, operator net.Listener }

func (d *daemon) listen() (listeners, error) {
	var l listeners
	var err error
	s := d.settings
	if l.caller, err = listenHTTP(s.Caller); err != nil {
		return l, err
	}
	if l.peer, err = listen(s.Peer.Listener, d.peerTLS); err != nil {
		return l, err
	}
	l.operator, err = listenHTTP(s.Operator.Listener)
	return l, err
}

// listenHTTP opens the listener for callers or operators, with TLS unless the settings
// choose plain TCP.
func listenHTTP(s settings.Listener) (net.Listener, error) {
	if s.Plaintext {
		return listen(s, nil)
	}
	tlsConfig, err := tlsconfig.LoadServer(tlsFiles(s))
	if err != nil {
		return nil, err
	}
	return listen(s, tlsConfig)
}

// listen opens a TCP listener; c is nil for plain TCP.
func listen(s settings.Listener, c *tls.Config) (net.Listener, error) {
	l, err := net.Listen("tcp", s.Listen.String())
	if err != nil || c == nil {
		return l, err
	}
	return tls.NewListener(l, c), nil
}

func tlsFiles(s settings.Listener) tlsconfig.Files {
	return tlsconfig.Files{Cert: s.CertFile, Key: s.KeyFile, CA: s.CAFile}
}

// loadPeerTLS returns the TLS configurations for accepting connections from other VMs
// and for dialling them. Both are nil if the settings choose plain TCP.
func loadPeerTLS(s *settings.Settings) (server, client *tls.Config, err error) {
	if s.Peer.Plaintext {
		return nil, nil, nil
	}
	return tlsconfig.LoadMutual(tlsFiles(s.Peer.Listener))
}

// loadPlatformTLS returns the TLS configuration for the platform, or nil for plain HTTP.
func loadPlatformTLS(s *settings.Settings) (*tls.Config, error) {
	if s.Platform.Plaintext {
		return nil, nil
	}
	return tlsconfig.LoadClient(s.Platform.CAFile)
}

// setVerbosity sets the verbosity of klog. klog has no API for it except its flags.
func setVerbosity(level int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("v", strconv.Itoa(level)) // cannot fail: the value is an integer
}

// logToStandardOutput makes klog write to standard output and not to standard error.
func logToStandardOutput() {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("logtostderr", "false") // cannot fail: the flags exist and the values are valid
	_ = fs.Set("alsologtostderr", "false")
	_ = fs.Set("stderrthreshold", "4")
	klog.SetOutput(os.Stdout)
}
