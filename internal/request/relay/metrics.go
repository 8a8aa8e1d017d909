package relay

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// latencyBounds are the bucket bounds of the latency histogram in seconds, from the
// duration of a plain service call to the longest timeout of a route.
var latencyBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8}

// Metrics holds the metric instruments of relayed requests.
type Metrics struct {
	latency  metric.Float64Histogram
	refusals metric.Int64Counter
}

// NewMetrics registers the instruments with the meter.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	latency, err := meter.Float64Histogram("hornbeamvale_request_duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the receipt of a request to the end of its answer, by route and outcome"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, err
	}
	refusals, err := meter.Int64Counter("hornbeamvale_relay_refusals",
		metric.WithDescription("Relayed requests that were refused, by code"))
	if err != nil {
		return nil, err
	}
	return &Metrics{latency: latency, refusals: refusals}, nil
}

// recordRequest counts a finished request, answered or refused, and its duration.
func (m *Metrics) recordRequest(route, outcome string, duration time.Duration) {
	m.latency.Record(context.Background(), duration.Seconds(),
		metric.WithAttributes(attribute.String("route", route), attribute.String("outcome", outcome)))
}

// recordRefusal counts a refused request.
func (m *Metrics) recordRefusal(code refusal.Code) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("code", string(code))))
}
