package main

import (
	"context"
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/request/relay"
)

// newMetrics registers the metrics of the process. It returns the instruments that the
// relay updates and the handler of the metrics page.
func (d *fleetDaemon) newMetrics() (*relay.Metrics, http.Handler, error) {
	meter, registry, err := newMeter()
	if err != nil {
		return nil, nil, err
	}
	requests, err := relay.NewMetrics(meter)
	if err != nil {
		return nil, nil, err
	}
	f := &instrumentFactory{meter: meter}
	cpu := f.seconds("hornbeamvale_control_cpu", "CPU time of the control thread")
	events := f.count("hornbeamvale_control_events", "Events applied by the control loop")
	version := f.gauge("hornbeamvale_configuration_version", "Configuration version in force")
	age, err := meter.Float64ObservableGauge("hornbeamvale_configuration_age", metric.WithUnit("s"),
		metric.WithDescription("Time since the store confirmed that the configuration in force is the newest"))
	f.keepFirst(err)
	replicas := f.gauge("hornbeamvale_replicas", "Replicas on the list")
	limited := f.gauge("hornbeamvale_replicas_limited", "Replicas that name a limit of their requests")
	cold := f.gauge("hornbeamvale_replicas_cold", "Replicas whose requests are limited since they are cold")
	evacuated := f.gauge("hornbeamvale_evacuated_data_centres", "Data centres whose replicas get nothing")
	quarantined := f.gauge("hornbeamvale_quarantine_blocks", "Fingerprints of requests that are kept from replicas")
	members := f.gauge("hornbeamvale_seats", "VMs that share the customers' rates")
	ready := f.gauge("hornbeamvale_ready", "1 if this VM takes traffic")
	dropped := f.count("hornbeamvale_log_entries_dropped", "Log lines dropped because too many waited")
	transactions := f.count("hornbeamvale_ledger_transactions", "Transactions for turns and budgets")
	conflicts := f.count("hornbeamvale_ledger_conflicts", "Transactions that another VM came before")
	reads := f.count("hornbeamvale_ledger_reads", "Reads of turns and budgets")
	retries := f.count("hornbeamvale_ledger_retries", "Transactions that failed and were tried again")
	homeCalls := f.count("hornbeamvale_ledger_home_calls", "Changes of turns and budgets that went to the group's home")
	homeFallbacks := f.count("hornbeamvale_ledger_home_fallbacks", "Changes that this VM made since no home answered")
	proxiedCalls := f.count("hornbeamvale_store_detours", "Calls of the store that went through another VM")
	state := f.gauge("hornbeamvale_store_state", "Way to the store: 0 direct, 1 through other VMs, 2 down, 3 isolated")
	dials := f.count("hornbeamvale_replica_connections", "Connections opened to replicas")
	replicaPath := f.gauge("hornbeamvale_replica_path", "Way to the replicas: 0 direct, 1 through other VMs")
	detours := f.count("hornbeamvale_replica_detours", "Requests to replicas that went through another VM")
	pressure, err := meter.Float64ObservableGauge("hornbeamvale_endpoint_pressure",
		metric.WithDescription("Estimated load of a model's endpoint, 1 if all slots are taken and nobody waits"))
	f.keepFirst(err)
	admission, err := meter.Float64ObservableGauge("hornbeamvale_program_admission",
		metric.WithDescription("Fraction of the programs that may begin, by endpoint and priority"))
	f.keepFirst(err)
	programsRefused := f.count("hornbeamvale_programs_refused", "Programs that could not begin because their endpoint was overloaded, by endpoint and priority")
	imbalance, err := meter.Float64ObservableGauge("hornbeamvale_replica_imbalance",
		metric.WithDescription("Expected requests a slot of the busiest replica in relation to the mean, by endpoint"))
	f.keepFirst(err)
	callerConnections := f.gauge("hornbeamvale_caller_connections", "Open connections of callers")
	callerBytes := f.gauge("hornbeamvale_caller_memory", "Memory charged to requests of callers, in bytes")
	callerLimits := f.count("hornbeamvale_caller_limits", "Connections of callers closed and requests refused, by the limit that did it")
	callerCuts := f.count("hornbeamvale_caller_cuts", "Connections of callers that this VM ended before the answer, by reason and phase")
	historyWaits := f.gauge("hornbeamvale_history_waiting", "Requests that wait for the load of a large history or the memory to keep one")
	historyLoads := f.gauge("hornbeamvale_history_loading", "Large histories that are being read")
	historyBytes := f.gauge("hornbeamvale_history_memory", "Memory charged to large histories, in bytes, by class")
	historyRefusals := f.count("hornbeamvale_history_refusals", "Requests refused since their history could not be loaded in time")
	if f.err != nil {
		return nil, nil, f.err
	}
	_, err = meter.RegisterCallback(func(ctx context.Context, o metric.Observer) error {
		s, l := d.loop.Snapshot(), d.ledger.Counters()
		if s.Table != nil {
			o.ObserveInt64(version, int64(s.Table.Number))
			o.ObserveFloat64(age, clock.Since(s.ConfirmedAt).Seconds())
		}
		o.ObserveFloat64(cpu, d.loop.CPUTime().Seconds())
		o.ObserveInt64(events, d.loop.AppliedEvents())
		for endpoint, v := range d.loop.Imbalance(ctx) {
			o.ObserveFloat64(imbalance, v, metric.WithAttributes(attribute.String("endpoint", endpoint)))
		}
		o.ObserveInt64(replicas, int64(s.ReplicaCount))
		o.ObserveInt64(limited, int64(s.LimitedReplicas))
		o.ObserveInt64(cold, int64(s.ColdReplicas))
		o.ObserveInt64(evacuated, int64(len(s.Evacuated)))
		o.ObserveInt64(quarantined, int64(s.Quarantine.Blocks()))
		o.ObserveInt64(members, int64(len(s.Members)))
		o.ObserveInt64(ready, boolMetric(d.ready() == nil))
		o.ObserveInt64(dropped, d.log.Dropped())
		o.ObserveInt64(transactions, l.Transactions)
		o.ObserveInt64(conflicts, l.Conflicts)
		o.ObserveInt64(reads, l.Reads)
		o.ObserveInt64(retries, l.Retries)
		o.ObserveInt64(homeCalls, l.HomeCalls)
		o.ObserveInt64(homeFallbacks, l.HomeFallbacks)
		o.ObserveInt64(replicaPath, int64(d.path.State()))
		o.ObserveInt64(detours, d.detour.Detours())
		o.ObserveInt64(dials, d.replicas.Dials())
		o.ObserveInt64(proxiedCalls, d.store.ProxyCalls())
		o.ObserveInt64(state, int64(d.store.State()))
		for _, l := range s.EndpointLoads {
			endpoint := attribute.String("endpoint", l.Endpoint)
			o.ObserveFloat64(pressure, l.Pressure, metric.WithAttributes(endpoint))
			for _, c := range l.Classes {
				labels := metric.WithAttributes(endpoint, attribute.String("priority", strconv.Itoa(c.Priority)))
				o.ObserveFloat64(admission, c.Admission, labels)
				o.ObserveInt64(programsRefused, c.Refused, labels)
			}
		}
		use := d.intake.Use()
		o.ObserveInt64(callerConnections, int64(use.Connections))
		o.ObserveInt64(callerBytes, use.Bytes)
		histories := d.ledger.Memory().Stats()
		o.ObserveInt64(historyWaits, int64(histories.Waiting))
		o.ObserveInt64(historyLoads, int64(histories.Loading))
		o.ObserveInt64(historyBytes, histories.LoadBytes, metric.WithAttributes(attribute.String("class", "load")))
		o.ObserveInt64(historyBytes, histories.HoldBytes, metric.WithAttributes(attribute.String("class", "hold")))
		o.ObserveInt64(historyRefusals, histories.Refused)
		for why, n := range d.intake.Counts() {
			o.ObserveInt64(callerLimits, n, metric.WithAttributes(attribute.String("limit", string(why))))
		}
		for cut, n := range d.intake.Cuts() {
			o.ObserveInt64(callerCuts, n, metric.WithAttributes(attribute.String("reason", string(cut.Reason)), attribute.String("phase", cut.Phase.String())))
		}
		return nil
	}, cpu, events, version, age, replicas, limited, cold, evacuated, quarantined, members, ready, dropped, transactions, conflicts, reads, retries, homeCalls, homeFallbacks, replicaPath, detours, dials, proxiedCalls, state, pressure, admission, programsRefused, imbalance, callerConnections, callerBytes, callerLimits, callerCuts, historyWaits, historyLoads, historyBytes, historyRefusals)
	if err != nil {
		return nil, nil, err
	}
	return requests, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), nil
}
