package gateway

import (
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// gatewayMetrics holds the gateway's metrics.
type gatewayMetrics struct {
	// registry is kept for the counters that countError registers by reason.
	registry   metrics.Registry
	requests   metrics.Counter
	retries    metrics.Counter
	resumes    metrics.Counter
	replayed   metrics.Counter
	refreshes  metrics.Counter
	tokens     metrics.Counter
	crashes    metrics.Counter
	firstToken metrics.Timer
}

func newGatewayMetrics(registry metrics.Registry) gatewayMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("gateway."+name, registry)
	}
	return gatewayMetrics{
		registry: registry, requests: counter("requests"), retries: counter("retries"),
		resumes: counter("resumes"), replayed: counter("replayed"), refreshes: counter("refreshes"),
		tokens: counter("tokens"), crashes: counter("crashes"),
		firstToken: metrics.GetOrRegisterTimer("gateway.first_token", registry),
	}
}

// countError counts an error response by its reason, regardless of its verdict.
func (m *gatewayMetrics) countError(reason verdict.Reason) {
	metrics.GetOrRegisterCounter("gateway.errors."+strings.ReplaceAll(string(reason), "-", "_"), m.registry).Inc(1)
}
