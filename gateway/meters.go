package gateway

import (
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// meters are the gateway's metrics.
type meters struct {
	registry   metrics.Registry
	requests   metrics.Counter
	retries    metrics.Counter
	resumes    metrics.Counter
	replayed   metrics.Counter
	refreshes  metrics.Counter
	tokens     metrics.Counter
	firstToken metrics.Timer
}

func newMeters(registry metrics.Registry) meters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("gateway."+name, registry)
	}
	return meters{
		registry: registry, requests: counter("requests"), retries: counter("retries"),
		resumes: counter("resumes"), replayed: counter("replayed"), refreshes: counter("refreshes"),
		tokens: counter("tokens"), firstToken: metrics.GetOrRegisterTimer("gateway.first_token", registry),
	}
}

// failed counts an error answer by its reason, whatever its verdict.
func (m *meters) failed(reason verdict.Reason) {
	metrics.GetOrRegisterCounter("gateway.errors."+strings.ReplaceAll(string(reason), "-", "_"), m.registry).Inc(1)
}
