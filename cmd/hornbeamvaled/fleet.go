package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/settings"
	"hornbeamvale.example/hornbeamvale/internal/process/storepath"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/request/fleetrpc"
	"hornbeamvale.example/hornbeamvale/internal/request/placement"
	"hornbeamvale.example/hornbeamvale/internal/request/relay"
	"hornbeamvale.example/hornbeamvale/platform/connection"
	platformprocess "hornbeamvale.example/hornbeamvale/platform/process"
	platformrequest "hornbeamvale.example/hornbeamvale/platform/request"
	platformversion "hornbeamvale.example/hornbeamvale/platform/version"
)

const (
	// turnCachePart is the part of the memory limit in which turns are kept, so that
	// the next turn of a line needs no read of the store.
	turnCachePart = 0.15
	// heapPart is the part of the memory limit at which the collector works harder.
	// The rest is for stacks, socket buffers and the runtime itself.
	heapPart = 0.6
	// drainPart is the part of the time to stop in which new requests are still taken:
	// the load balancer sends new connections until two of its questions a second
	// apart were answered with no.
	drainPart = 0.35
	// endPart is the part of the time to stop after which requests that still run are
	// cut, so that the process ends by itself.
	endPart = 0.93
	// headerTimeout bounds the head of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections of callers. It exceeds the idle time that
	// callers use, so that none sends a request while its connection closes.
	idleTimeout = 2 * time.Minute
)

// fleetDaemon is the process of a VM that follows the platform's store.
type fleetDaemon struct {
	settings settings.Fleet
	log      *decisionlog.Log
	loop     *fleet.Loop
	store    *storepath.Path
	ledger   *ledger.Ledger
	peers    *peer.Manager
	replicas *connection.Replicas

	callers, readiness, metrics *http.Server
}

// serveFleet runs the daemon until ctx ends and then shuts it down gracefully.
func serveFleet(ctx context.Context, s settings.Fleet, reload <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(heapPart * float64(s.MemoryBytes)))
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := assembleFleet(running, s)
	if err != nil {
		return err
	}
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	failed := make(chan error, 4)
	wg.Go(func() { d.log.Run(running) })
	wg.Go(func() { d.loop.Run(running) })
	wg.Go(func() { d.ledger.Run(running) })
	wg.Go(func() { d.store.Run(running, platform.RangeQuery{Table: fleet.MemberTable}) })
	wg.Go(func() { report(failed, d.peers.Serve(running, listeners[0])) })
	for i, server := range []*http.Server{d.callers, d.readiness, d.metrics} {
		wg.Go(func() { report(failed, server.Serve(listeners[i+1])) })
	}
	klog.InfoS("Started", "vm", s.VM, "dataCentre", s.DataCentre, "callers", s.Callers, "peers", s.Peers, "store", s.Store)
	if err = d.run(ctx, reload, failed); err == nil {
		d.shutdown()
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

// run waits for the signal to stop or a failure. The platform's settings of a running
// process, its addresses and limits, do not change, so a reload only reports them.
func (d *fleetDaemon) run(ctx context.Context, reload <-chan os.Signal, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-reload:
			d.reload()
		}
	}
}

func (d *fleetDaemon) reload() {
	s, err := platformprocess.Load()
	if err != nil {
		klog.ErrorS(err, "Settings not reloaded")
		return
	}
	s.Metrics = d.settings.Metrics // the command line may have set its port
	klog.InfoS("Settings reloaded", "changed", s != d.settings)
}

// assembleFleet builds the daemon from its settings.
func assembleFleet(running context.Context, s settings.Fleet) (*fleetDaemon, error) {
	log := decisionlog.New(nil)
	server := &fleetrpc.Server{}
	d := &fleetDaemon{
		settings: s, log: log, replicas: connection.NewReplicas(), peers: peer.NewManager(s.VM, nil, server),
	}
	d.store = storepath.New(connection.NewStore(s.Store), d.helpers, func(state storepath.State) {
		log.Request("Way to the store changed", "state", state)
	})
	d.loop = fleet.NewLoop(fleet.Config{
		Self:  fleet.Member{VM: s.VM, Address: s.Peers.String()},
		Store: d.store, Sources: platformversion.Sources(), Log: log,
		Picker:    placement.FleetPicker{Profile: placement.FleetProfile(), DataCentre: s.DataCentre},
		Peers:     &fleetrpc.LoanClient{Manager: d.peers},
		StoreDown: func() bool { return d.store.State() == storepath.Down },
	})
	server.Loop, server.Path = d.loop, d.store
	d.ledger = ledger.New(running, d.store, ledger.Options{
		CacheBytes: int(turnCachePart * float64(s.MemoryBytes)), Rate: d.storeShare,
	})
	server.Ledger = d.ledger
	instruments, metrics, err := d.newMetrics()
	if err != nil {
		return nil, err
	}
	relays := &relay.Server{
		Loop: d.loop, Ledger: ledger.NewHomeRouter(d.ledger, log, d.home), Replicas: d.replicas, Store: d.store, Log: log, Metrics: instruments,
	}
	d.callers = &http.Server{
		Handler:           platformrequest.New(platformrequest.Options{Server: relays, MaxBodyBytes: d.maxBodyBytes, Leaving: d.leaving}),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	d.readiness = &http.Server{
		Handler:           platformrequest.Ready(d.ready),
		ReadHeaderTimeout: headerTimeout,
	}
	d.metrics = &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout}
	return d, nil
}

func (d *fleetDaemon) maxBodyBytes() int {
	if t := d.loop.Snapshot().Table; t != nil {
		return t.Limits.MaxBodyBytes
	}
	return 0
}

// leaving says that callers should connect to other VMs.
func (d *fleetDaemon) leaving() bool {
	return d.loop.Snapshot().Draining || d.store.State() == storepath.Isolated
}

var errIsolated = errors.New("neither the store nor another VM answers")

// ready returns why the load balancer should send no new connections, or nil. A VM
// that nobody else reaches can serve no turns; if the store is down for all, no
// other VM is better.
func (d *fleetDaemon) ready() error {
	if err := d.loop.Snapshot().Ready(); err != nil {
		return err
	}
	if d.store.State() == storepath.Isolated {
		return errIsolated
	}
	return nil
}

// helpers returns the other VMs for calls of the store.
func (d *fleetDaemon) helpers() []storepath.Helper {
	var out []storepath.Helper
	for _, member := range d.loop.Snapshot().Members {
		if member.VM != d.settings.VM {
			out = append(out, fleetrpc.StoreProxy{Manager: d.peers, Member: member})
		}
	}
	return out
}

// storeShare returns this VM's share of the store's writing calls a second.
func (d *fleetDaemon) storeShare() float64 {
	return float64(d.settings.StoreWrites) / float64(max(1, len(d.loop.Snapshot().Members)))
}

// home returns the VM that makes the changes of a group; false if it is this one or
// if none is left.
func (d *fleetDaemon) home(g turntree.Group, passedOver func(vm string) bool) (ledger.Home, bool) {
	member, ok := fleet.HomeOf(d.loop.Snapshot().Members, g, func(vm string) bool {
		return vm != d.settings.VM && passedOver(vm)
	})
	if !ok || member.VM == d.settings.VM {
		return nil, false
	}
	return fleetrpc.HomeClient{Manager: d.peers, Member: member}, true
}

func (d *fleetDaemon) listen() ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range []netip.AddrPort{d.settings.Peers, d.settings.Callers, d.settings.Ready, d.settings.Metrics} {
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

// shutdown ends the process without cutting a request: the load balancer sees that
// the VM is not ready, callers are told to close their connections, and running
// requests end.
func (d *fleetDaemon) shutdown() {
	klog.InfoS("Stopping", "vm", d.settings.VM, "within", d.settings.StopWithin)
	within := float64(d.settings.StopWithin)
	limit, cancel := context.WithTimeout(context.Background(), time.Duration(endPart*within))
	defer cancel()
	done := make(chan struct{})
	if d.loop.Post(limit, fleet.Drain{Done: done}) != nil {
		return
	}
	<-done
	clock.Sleep(limit, time.Duration(drainPart*within))
	if err := d.callers.Shutdown(limit); err != nil {
		klog.ErrorS(err, "Requests were still running when the time to stop was over")
	}
}
