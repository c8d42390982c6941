package entry

import (
	"context"
	"math"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/internal/wait"
)

const (
	// evennessInterval is the time between two log lines about the evenness of a pool.
	evennessInterval = time.Second
	// maxEvennessPools limits the pools that are logged each time.
	maxEvennessPools = 8
)

// evennessReporter logs how evenly the requests are distributed over the groups.
type evennessReporter struct {
	dispatcher *forward.Dispatcher
	logger     log.Logger
	registry   metrics.Registry
}

// run reports until ctx is cancelled.
func (r *evennessReporter) run(ctx context.Context) error {
	for wait.For(ctx, evennessInterval) {
		r.report()
	}
	return nil
}

// report logs the evenness of each pool with requests, and sets the gauges to that of the
// least even one.
func (r *evennessReporter) report() {
	var worst forward.Evenness
	logged := 0
	for pool, e := range r.dispatcher.Evenness() {
		if e.Fill == 0 {
			continue
		}
		if e.BusiestToMean > worst.BusiestToMean {
			worst = e
		}
		if logged++; logged <= maxEvennessPools {
			_ = level.Info(r.logger).Log("msg", "evenness", "service", pool.Service, "model", pool.Model, "groups", e.Targets,
				"fill", rounded(e.Fill), "highest_fill", rounded(e.HighestFill), "busiest_to_mean", rounded(e.BusiestToMean), "spread", rounded(e.Spread))
		}
	}
	metrics.GetOrRegisterGaugeFloat64("forward.evenness.busiest_to_mean", r.registry).Update(worst.BusiestToMean)
	metrics.GetOrRegisterGaugeFloat64("forward.evenness.spread", r.registry).Update(worst.Spread)
}

// rounded returns a ratio with three decimals, as it is logged.
func rounded(ratio float64) float64 { return math.Round(ratio*1000) / 1000 }
