package main

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// newMetrics registers the metrics of the process and returns the handler of the metrics
// page.
func newMetrics(d *daemon) (http.Handler, error) {
	meter, registry, err := newMeter()
	if err != nil {
		return nil, err
	}
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f := &instrumentFactory{meter: meter}
	cpu := f.seconds("hornbeamvale_control_cpu", "CPU time of the control thread")
	events := f.count("hornbeamvale_control_events", "Events applied by the control loop")
	served := f.count("hornbeamvale_requests_served", "Requests that got their whole answer at this entry VM")
	refused := f.count("hornbeamvale_requests_refused", "Requests refused at this entry VM, by code")
	retries := f.count("hornbeamvale_retries", "Attempts repeated at another replica")
	denied := f.count("hornbeamvale_retries_denied", "Repeats that were unsafe or beyond the retry budget")
	journalWaitTime := f.seconds("hornbeamvale_turn_hold", "Time that ends of answers waited for the journal")
	journalWaits := f.count("hornbeamvale_turns_held", "Ends of answers that waited for the journal")
	version := f.gauge("hornbeamvale_configuration_version", "Configuration version in force")
	dropped := f.count("hornbeamvale_log_entries_dropped", "Log lines and time-line events dropped because too many waited")
	sent := f.count("hornbeamvale_peer_sent_bytes", "Bytes sent to other VMs, by message type")
	received := f.count("hornbeamvale_peer_received_bytes", "Bytes received from other VMs, by message type")
	members := f.gauge("hornbeamvale_members", "Members of the fleet as this VM sees it")
	lease := f.gauge("hornbeamvale_lease_valid", "1 if this VM may act as an owner")
	ready := f.gauge("hornbeamvale_ready", "1 if this VM takes traffic")
	if f.err != nil {
		return nil, f.err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		c := d.counters
		o.ObserveFloat64(cpu, d.loop.CPUTime().Seconds())
		o.ObserveInt64(events, d.loop.AppliedEvents())
		o.ObserveInt64(served, c.Served.Load())
		for code, n := range c.Refused() {
			o.ObserveInt64(refused, n, metric.WithAttributes(attribute.String("code", string(code))))
		}
		o.ObserveInt64(retries, c.Retries.Load())
		o.ObserveInt64(denied, c.RetryDenied.Load())
		o.ObserveFloat64(journalWaitTime, time.Duration(c.JournalWaitNanos.Load()).Seconds())
		o.ObserveInt64(journalWaits, c.JournalWaits.Load())
		o.ObserveInt64(version, int64(d.loop.Snapshot().Version.Number))
		o.ObserveInt64(dropped, d.loop.DroppedLogs())
		for t, name := range peer.TypeNames() {
			out, in := d.peers.FrameBytes(t)
			byType := metric.WithAttributes(attribute.String("type", name))
			o.ObserveInt64(sent, int64(out), byType)
			o.ObserveInt64(received, int64(in), byType)
		}
		o.ObserveInt64(members, int64(len(d.loop.Snapshot().Peers())))
		o.ObserveInt64(lease, boolMetric(d.loop.Snapshot().LeaseValid(clock.Now())))
		o.ObserveInt64(ready, boolMetric(d.ready() == nil))
		return nil
	}, cpu, events, served, refused, retries, denied, journalWaitTime, journalWaits, version, dropped, sent, received, members, lease, ready)
	if err != nil {
		return nil, err
	}
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), nil
}

// newMeter returns a meter and the Prometheus registry that exports its instruments.
func newMeter() (metric.Meter, *prometheus.Registry, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, nil, err
	}
	return sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("hornbeamvale"), registry, nil
}

// instrumentFactory creates observable instruments and keeps the first error.
type instrumentFactory struct {
	meter metric.Meter
	err   error
}

func (f *instrumentFactory) seconds(name, description string) metric.Float64ObservableCounter {
	i, err := f.meter.Float64ObservableCounter(name, metric.WithUnit("s"), metric.WithDescription(description))
	f.keepFirst(err)
	return i
}

func (f *instrumentFactory) count(name, description string) metric.Int64ObservableCounter {
	i, err := f.meter.Int64ObservableCounter(name, metric.WithDescription(description))
	f.keepFirst(err)
	return i
}

func (f *instrumentFactory) gauge(name, description string) metric.Int64ObservableGauge {
	i, err := f.meter.Int64ObservableGauge(name, metric.WithDescription(description))
	f.keepFirst(err)
	return i
}

func (f *instrumentFactory) keepFirst(err error) {
	if f.err == nil {
		f.err = err
	}
}

func boolMetric(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
