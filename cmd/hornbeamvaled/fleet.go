package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"reflect"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"hornbeamvale.example/hornbeamvale/internal/connection/metered"
	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/historyload"
	"hornbeamvale.example/hornbeamvale/internal/process/intake"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/replicapath"
	"hornbeamvale.example/hornbeamvale/internal/process/settings"
	"hornbeamvale.example/hornbeamvale/internal/process/storepath"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/request/detour"
	"hornbeamvale.example/hornbeamvale/internal/request/fleetrpc"
	"hornbeamvale.example/hornbeamvale/internal/request/placement"
	"hornbeamvale.example/hornbeamvale/internal/request/relay"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
	"hornbeamvale.example/hornbeamvale/platform/connection"
	platformprocess "hornbeamvale.example/hornbeamvale/platform/process"
	platformrequest "hornbeamvale.example/hornbeamvale/platform/request"
	platformversion "hornbeamvale.example/hornbeamvale/platform/version"
)

const (
	// turnCacheFraction is the fraction of the memory limit for the cache of turns. A turn
	// whose previous turn is cached needs no read of the store.
	turnCacheFraction = 0.15
	// replyMemoryFraction is the fraction of the memory limit for large replies that are
	// read as a whole before they are relayed.
	replyMemoryFraction = 0.15
	// streamMemoryFraction is the fraction of the memory limit for large events and outputs
	// of streams.
	streamMemoryFraction = 0.15
	// historyMemoryFraction is the fraction of the memory limit for the load of large histories,
	// and again for the requests that keep one.
	historyMemoryFraction = 0.12
	// maxHistoryLoads bounds the histories that are read from the store at the same time.
	maxHistoryLoads = 3
	// goMemoryFraction is the fraction of the VM's memory limit that is set as the soft
	// memory limit of the Go runtime, near which the garbage collector runs more often.
	// The rest is for stacks, socket buffers and the runtime itself.
	goMemoryFraction = 0.6
	// undeliveredFraction is the fraction of the drain time after which a connection is
	// closed whose sent bytes are not acknowledged. A request that a broken link holds back
	// thus arrives before the drain time of a replica that began to leave meanwhile has
	// passed, or not at all.
	undeliveredFraction = 0.75
	// headerTimeout limits the time to read the headers of a request, and idleTimeout closes
	// idle connections, where the configuration states no limit.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// probeHeadBytes bounds the heads of readiness checks and of reads of the metrics.
	probeHeadBytes = 16 << 10
)

// fleetDaemon holds the servers, clients and control loop of a process that takes its
// settings from the platform and follows the platform's store.
type fleetDaemon struct {
	settings settings.FleetVM
	log      *decisionlog.Log
	loop     *fleet.Loop
	store    *storepath.Path
	ledger   *ledger.Ledger
	peers    *peer.Manager
	replicas *connection.ReplicaClient
	path     *replicapath.Path
	detour   *detour.Client
	rpc      *fleetrpc.Server

	callers, readiness, metrics *http.Server
	// intake bounds what callers hold, and probes what the clients of readiness and metrics
	// hold.
	intake, probes *intake.Intake
	// stopUnanswered ends requests whose answers have not begun.
	stopUnanswered context.CancelFunc
	// lastAccepted is when the last connection of a caller was accepted, as
	// clock.Monotonic in nanoseconds.
	lastAccepted atomic.Int64
}

// fleetListeners holds the open listeners of a fleetDaemon.
type fleetListeners struct{ peers, callers, readiness, metrics net.Listener }

// listenFleet opens the listeners of the addresses in the settings. If one of them cannot
// be opened, it closes the others and returns an error with the address and its purpose.
func listenFleet(s settings.FleetVM) (fleetListeners, error) {
	var l fleetListeners
	for _, x := range []struct {
		purpose string
		address netip.AddrPort
		to      *net.Listener
	}{
		{"other VMs", s.PeerAddress, &l.peers},
		{"callers", s.CallerAddress, &l.callers},
		{"the readiness check", s.ReadyAddress, &l.readiness},
		{"metrics", s.MetricsAddress, &l.metrics},
	} {
		opened, err := net.Listen("tcp", x.address.String())
		if err != nil {
			l.close()
			return fleetListeners{}, fmt.Errorf("cannot listen for %s at %s: %w", x.purpose, x.address, err)
		}
		*x.to = opened
	}
	return l, nil
}

// close closes the listeners that are open.
func (l fleetListeners) close() {
	for _, x := range []net.Listener{l.peers, l.callers, l.readiness, l.metrics} {
		if x != nil {
			_ = x.Close()
		}
	}
}

// serveFleet runs the daemon on the listeners until ctx ends and then shuts it down
// gracefully. It closes the listeners.
func serveFleet(ctx context.Context, s settings.FleetVM, listeners fleetListeners, reload <-chan os.Signal) error {
	return serveFleetWith(ctx, s, connection.NewReplicaClient(userTimeout(s)), listeners, reload)
}

// serveFleetWith is serveFleet with a given client of replicas.
func serveFleetWith(ctx context.Context, s settings.FleetVM, replicas *connection.ReplicaClient, listeners fleetListeners, reload <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(goMemoryFraction * float64(s.MemoryBytes)))
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := newFleetDaemon(running, s, replicas)
	if err != nil {
		listeners.close()
		return err
	}
	var wg sync.WaitGroup
	failed := make(chan error, 4)
	wg.Go(func() { d.log.Run(running) })
	wg.Go(func() { d.loop.Run(running) })
	wg.Go(func() { d.ledger.Run(running) })
	wg.Go(func() { d.path.Run(running) })
	wg.Go(func() { d.intake.Expire(running, d.connectionTimes, d.log) })
	wg.Go(func() {
		d.probes.Expire(running, func() intake.Times { return intake.Times{Idle: idleTimeout, Head: headerTimeout} }, d.log)
	})
	wg.Go(func() { d.store.Run(running, platform.RangeQuery{Table: fleet.MemberTable}) })
	wg.Go(func() { reportFailure(failed, d.peers.Serve(running, listeners.peers)) })
	wg.Go(func() { reportFailure(failed, d.callers.Serve(d.callerListener(listeners.callers))) })
	wg.Go(func() { reportFailure(failed, d.readiness.Serve(d.probeListener(listeners.readiness))) })
	wg.Go(func() { reportFailure(failed, d.metrics.Serve(d.probeListener(listeners.metrics))) })
	klog.InfoS("Started", "vm", s.VM, "dataCentre", s.DataCentre, "callers", s.CallerAddress, "peers", s.PeerAddress, "ready", s.ReadyAddress, "metrics", s.MetricsAddress, "store", s.StoreAddress)
	if err = d.run(ctx, reload, failed); err == nil {
		d.shutdown(listeners.callers)
	}
	cancel()
	d.peers.Close()
	for _, server := range []*http.Server{d.callers, d.readiness, d.metrics} {
		_ = server.Close()
	}
	wg.Wait()
	klog.InfoS("Stopped", "vm", s.VM)
	return err
}

// run waits until ctx ends or a server fails. A reload signal only logs whether the
// settings file has changed: its addresses and limits are fixed for a running process.
func (d *fleetDaemon) run(ctx context.Context, reload <-chan os.Signal, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-reload:
			d.logSettingsChange()
		}
	}
}

// logSettingsChange logs whether the settings file differs from the settings in use.
func (d *fleetDaemon) logSettingsChange() {
	s, err := platformprocess.Load()
	if err != nil {
		klog.ErrorS(err, "Failed to read the settings file on reload")
		return
	}
	s.MetricsAddress = d.settings.MetricsAddress // --metrics-port may have replaced the port of the file
	klog.InfoS("Read the settings file on reload; changes take effect at the next start", "changed", !reflect.DeepEqual(s, d.settings))
}

// userTimeout returns how long sent bytes may stay unacknowledged on a connection.
func userTimeout(s settings.FleetVM) time.Duration {
	return time.Duration(undeliveredFraction * float64(s.DrainTime))
}

// newFleetDaemon creates the parts of the daemon from its settings and connects them.
// The ledger uses running for its background calls. It opens no listener.
func newFleetDaemon(running context.Context, s settings.FleetVM, replicas *connection.ReplicaClient) (*fleetDaemon, error) {
	log := decisionlog.New(nil)
	server := &fleetrpc.Server{Replicas: replicas}
	d := &fleetDaemon{
		settings: s, log: log, replicas: replicas, peers: peer.NewManager(s.VM, nil, server), rpc: server,
		intake: intake.New(intake.LimitsOf(s.MemoryBytes, s.CallerMemoryBytes, s.MaxDescriptors)),
		probes: intake.New(intake.ProbeLimits()),
	}
	server.Intake, server.Log = d.intake, log
	d.peers.SetObserver(peerLog{log.State})
	replicas.OnSilentClose = logSilentClose(log, "replica")
	store := connection.NewStoreClient(s.StoreAddress, userTimeout(s))
	store.OnSilentClose = logSilentClose(log, "store")
	d.store = storepath.New(store, d.storeProxies, pathLog{log})
	d.loop = fleet.NewLoop(fleet.Config{
		Self:    fleet.Member{VM: s.VM, Address: s.PeerAddress.String(), Region: region(s), KeepsIndex: true},
		Regions: s.Regions, Cold: fleet.ColdBounds{Overage: s.ColdOverage, Tolerance: s.ColdTolerance},
		Store: d.store, Sources: platformversion.Sources(), Log: log,
		Picker:    placement.FleetPicker{Profile: placement.FleetProfile(), DataCentre: s.DataCentre},
		Peers:     &fleetrpc.PeerClient{Manager: d.peers},
		StoreDown: d.store.DownForAll,
	})
	d.path = replicapath.New(replicapath.Config{
		Sample: d.loop.SampleReplicas, Dial: replicas.Reaches,
		Changed: func(state replicapath.State) { d.replicaPathChanged(running, state) },
	})
	d.detour = &detour.Client{Direct: replicas, Path: d.path, Proxies: d.replicaProxies, Region: region(s)}
	server.Loop, server.Path, server.ReplicaPath, server.MayForward = d.loop, d.store, d.path, d.loop.MayForward
	d.ledger = ledger.New(running, d.store, ledger.Options{
		CacheBytes: int(turnCacheFraction * float64(s.MemoryBytes)), Rate: d.storeShare, LongestRetention: d.longestRetention, EarlierBuilds: d.earlierBuilds, Log: log,
		Loads: historyload.NewGate(historyload.Limits{Bytes: int64(historyMemoryFraction * float64(s.MemoryBytes)), Loads: maxHistoryLoads}),
	})
	server.Ledger = d.ledger
	instruments, metrics, err := d.newMetrics()
	if err != nil {
		return nil, err
	}
	unanswered, stopUnanswered := context.WithCancel(running)
	d.stopUnanswered = stopUnanswered
	relays := &relay.Server{
		StopUnanswered: unanswered,
		Loop:           d.loop, Ledger: ledger.NewHomeRouter(d.ledger, log, d.home), Replicas: d.detour, Store: d.store, Log: log, Metrics: instruments,
		ReplyMemory:  relay.NewReplyMemory(int64(replyMemoryFraction * float64(s.MemoryBytes))),
		StreamMemory: relay.NewStreamMemory(int64(streamMemoryFraction * float64(s.MemoryBytes))),
	}
	d.callers = &http.Server{
		// The times of connections are limited by intake.Expire, since they are part of the
		// configuration, which may change.
		Handler:     platformrequest.New(platformrequest.Options{Server: relays, Limits: d.callerLimits, CloseConnections: d.closeConnections}),
		ConnContext: metered.WithConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			metered.ConnState(c, state)
			if state == http.StateNew {
				d.lastAccepted.Store(clock.Monotonic().Nanoseconds())
			}
		},
	}
	d.readiness = &http.Server{Handler: platformrequest.Ready(d.ready), ConnContext: metered.WithConn, ConnState: metered.ConnState}
	d.metrics = &http.Server{Handler: metrics, ConnContext: metered.WithConn, ConnState: metered.ConnState}
	return d, nil
}

// callerLimits returns the limits of callers in force; each is 0 until a configuration was
// read.
func (d *fleetDaemon) callerLimits() routing.CallerLimits {
	if t := d.loop.Snapshot().Table; t != nil {
		return t.Limits
	}
	return routing.CallerLimits{}
}

// connectionTimes returns how long connections of callers may be idle or send a head.
func (d *fleetDaemon) connectionTimes() intake.Times {
	limits := d.callerLimits()
	return intake.Times{Idle: cmp.Or(limits.IdleTimeout, idleTimeout), Head: cmp.Or(limits.HeaderTimeout, headerTimeout)}
}

// callerListener returns the listener of callers with the limits of what they hold.
func (d *fleetDaemon) callerListener(l net.Listener) net.Listener {
	return &metered.Listener{Listener: l, Intake: d.intake, MaxHeadBytes: func() int { return d.callerLimits().MaxHeaderBytes }, Log: d.log}
}

// probeListener returns a listener of readiness checks or metrics with its limits.
func (d *fleetDaemon) probeListener(l net.Listener) net.Listener {
	return &metered.Listener{Listener: l, Intake: d.probes, MaxHeadBytes: func() int { return probeHeadBytes }}
}

// closeConnections reports whether callers should close their connections and connect
// to other VMs.
func (d *fleetDaemon) closeConnections() bool {
	return d.loop.Snapshot().Draining || d.store.State() == storepath.Isolated
}

var errIsolated = errors.New("neither the store nor another VM answers")

// ready returns nil if the load balancer may send new connections to this VM, otherwise
// the reason why it should not. A VM that reaches neither the store nor another VM can
// serve no turns. If the store is down for all VMs, this VM stays ready, because no
// other VM could do more.
func (d *fleetDaemon) ready() error {
	if err := d.loop.Snapshot().Ready(); err != nil {
		return err
	}
	if d.store.State() == storepath.Isolated {
		return errIsolated
	}
	return nil
}

// region returns the region of this VM; empty if the settings do not state it.
func region(s settings.FleetVM) string { return cmp.Or(s.Region, s.Regions[s.DataCentre]) }

// storeProxies returns the other VMs, through which calls of the store can be sent. The calls
// have the bodies of turns, so where a route or a customer names regions, the VMs are those
// of this VM's region.
func (d *fleetDaemon) storeProxies() []storepath.Proxy {
	var out []storepath.Proxy
	s := d.loop.Snapshot()
	restricted := s.Table != nil && s.Table.RestrictsRegions()
	for _, member := range s.Members {
		if member.VM != d.settings.VM && (!restricted || member.Region == region(d.settings)) {
			out = append(out, fleetrpc.StoreProxy{Manager: d.peers, Member: member})
		}
	}
	return out
}

// replicaPathChanged logs that the path to the replicas was lost or is back. Idle
// connections may have been lost with it.
func (d *fleetDaemon) replicaPathChanged(ctx context.Context, state replicapath.State) {
	d.log.State("Path to the replicas changed", "state", state)
	d.replicas.CloseIdle()
	_ = d.loop.Post(ctx, fleet.PathChanged{}) // fails only when the process ends
}

// replicaProxies returns the other VMs, through which requests can be sent to replicas.
func (d *fleetDaemon) replicaProxies() []detour.Proxy {
	var out []detour.Proxy
	for _, member := range d.loop.Snapshot().Members {
		if member.VM != d.settings.VM {
			out = append(out, fleetrpc.ReplicaProxy{Manager: d.peers, Member: member})
		}
	}
	return out
}

// storeShare returns this VM's equal share of the fleet's limit of write calls per
// second at the store.
func (d *fleetDaemon) storeShare() float64 {
	return float64(d.settings.StoreWritesPerSecond) / float64(max(1, len(d.loop.Snapshot().Members)))
}

// longestRetention returns the longest retention of the routes in force, 0 if this VM has
// read no configuration yet.
func (d *fleetDaemon) longestRetention() time.Duration {
	table := d.loop.Snapshot().Table
	if table == nil {
		return 0
	}
	return table.LongestRetention()
}

// earlierBuilds returns whether a VM of the fleet runs a build that deletes index entries of
// copied turns.
func (d *fleetDaemon) earlierBuilds() bool {
	return slices.ContainsFunc(d.loop.Snapshot().Members, func(m fleet.Member) bool { return !m.KeepsIndex })
}

// home returns the VM that applies the changes of a program's group of rows, a VM in an
// allowed region. It returns false if that is this VM, if skip returns true for all
// candidates, or if no VM is in an allowed region. VMs of earlier builds are no candidates: a
// turn that they record has no second index entry.
func (d *fleetDaemon) home(g turntree.Group, allowed routing.AllowedRegions, skip func(vm string) bool) (ledger.Home, bool) {
	member, ok := fleet.HomeOf(fleet.MembersIn(d.loop.Snapshot().Members, allowed), g, func(m fleet.Member) bool {
		return m.VM != d.settings.VM && (!m.KeepsIndex || skip(m.VM))
	})
	if !ok || member.VM == d.settings.VM {
		return nil, false
	}
	return fleetrpc.HomeClient{Manager: d.peers, Member: member, Loop: d.loop, Memory: d.ledger.Memory()}, true
}
