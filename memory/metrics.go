package memory

import "github.com/rcrowley/go-metrics"

// budgetMetrics are the counters of a Budget.
type budgetMetrics struct {
	// waited counts the calls that had to wait, refused those that got nothing, and revoked
	// the holds given up for the sake of others.
	waited, refused, revoked metrics.Counter
}

func newBudgetMetrics(r metrics.Registry) budgetMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return budgetMetrics{
		waited:  metrics.GetOrRegisterCounter("memory.waited", r),
		refused: metrics.GetOrRegisterCounter("memory.refused", r),
		revoked: metrics.GetOrRegisterCounter("memory.revoked", r),
	}
}

// UpdateGauges sets the gauges of what is held of each kind and how much may be.
func (b *Budget) UpdateGauges(r metrics.Registry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range kinds {
		metrics.GetOrRegisterGauge("memory.held_bytes."+k.String(), r).Update(b.used[k])
		metrics.GetOrRegisterGauge("memory.limit_bytes."+k.String(), r).Update(b.limits[k])
	}
	metrics.GetOrRegisterGauge("memory.waiting", r).Update(int64(len(b.waiters)))
}
