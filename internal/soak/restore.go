package soak

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

const (
	// copyInterval is the time between two copies of the store.
	copyInterval = 500 * time.Millisecond
	// maxCopies is the number of copies from which the store is restored.
	maxCopies = 16
	// rewriteDelay is the time from a restore until the operator and the engines have
	// written again what they wrote since the copy.
	rewriteDelay = time.Second
)

// configure writes the next version of the configuration as the operator.
func (d *deployment) configure(keys ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configurationVersion++
	d.keys = keys
	d.store.Put("config", "main", platformtest.Configuration(d.configurationVersion, keys...))
}

// copyStore copies the store at an interval until ctx ends.
func (d *deployment) copyStore(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(copyInterval) {
		copied := d.store.Copy()
		d.mu.Lock()
		d.copies = append(d.copies, copied)
		d.copies = d.copies[max(len(d.copies)-maxCopies, 0):]
		d.mu.Unlock()
	}
}

// restoreStore restores the store from the copy that a fault's target selects, makes it
// available, and lets the operator and the engines write again later.
func (d *deployment) restoreStore(target int) {
	d.mu.Lock()
	if len(d.copies) > 0 {
		d.store.Restore(d.copies[target%len(d.copies)])
	}
	d.mu.Unlock()
	d.store.SetDown(false)
	time.Sleep(rewriteDelay)
	d.mu.Lock()
	d.store.Put("config", "main", platformtest.Configuration(d.configurationVersion, d.keys...))
	d.rewriteEvacuations()
	d.mu.Unlock()
	d.fleet.Republish()
}

// addOddEntry adds the odd entry that a fault's target selects among those of the engines,
// and returns the function that removes it. Half of the targets select entries that stay.
func (d *deployment) addOddEntry(target int) (end func()) {
	entries := platformtest.OddEntries(strconv.Itoa(target))
	odd := entries[target%len(entries)]
	d.store.AddOddEntry(odd)
	if target/len(entries)%2 == 0 {
		return func() {}
	}
	return func() { d.store.RemoveOddEntry(odd) }
}

// Limits of the requests to an engine that states a rate, from the users' requirements.
const (
	// maxLimit is the highest rate that an engine states, in requests per second.
	maxLimit = 5
	// limitSettleTime is the time after the first statement from which the rule holds.
	limitSettleTime = 3 * time.Second
	// limitWindow is the time over which requests are counted.
	limitWindow = 4 * time.Second
	// limitRatio and limitSlack bound the requests in a window by the accepted ones.
	limitRatio, limitSlack = 1.5, 5
)

// checkLimit checks the requests that an engine got since it began to state a rate. Nodes
// that were restarted or paused meanwhile may not have known it.
func (d *deployment) checkLimit(e *engine, rate float64, started time.Time) {
	for _, n := range d.nodes {
		if !n.undisturbedSince(started) {
			return
		}
	}
	if n := e.MostArrivals(started.Add(limitSettleTime), limitWindow); float64(n) > limitRatio*rate*limitWindow.Seconds()+limitSlack {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.found = append(d.found, fmt.Sprintf("%s got %d requests within %s at a rate of %.0f", e.ID, n, limitWindow, rate))
	}
}
