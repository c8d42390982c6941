package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// latencySmoothing is the weight of a new sample in the exponential moving
	// average of the time to first token.
	latencySmoothing = 0.2
	// maxSamples is enough to cover the lifetime of evidence at the slowest rate
	// of rebuilds.
	maxSamples = 64
)

// Tracker counts the work that this node sent to one target and measures how
// fast the target responds. It takes no locks; only the builder may call the
// methods that use samples.
type Tracker struct {
	sent atomic.Int64
	// firstTokenSeconds holds the bits of a float64.
	firstTokenSeconds atomic.Uint64
	// queuedTokens is the newest reported number of queued prompt tokens.
	queuedTokens atomic.Int64
	// drainRate holds the bits of a float64.
	drainRate atomic.Uint64

	// samples are past values of sent, oldest first; only the builder uses them.
	samples []sentSample
}

type sentSample struct {
	at   time.Time
	sent int64
}

// Add adds tokens (or requests to a plain server) that are about to be sent.
func (t *Tracker) Add(tokens int) { t.sent.Add(int64(tokens)) }

// Sent returns the number of tokens or requests sent since the tracker was
// created.
func (t *Tracker) Sent() int64 { return t.sent.Load() }

// FirstToken records the time from sending to the first token.
func (t *Tracker) FirstToken(d time.Duration) {
	t.observeDrainRate(d)
	for {
		old := t.firstTokenSeconds.Load()
		average := d.Seconds()
		if old != 0 {
			average = (1-latencySmoothing)*math.Float64frombits(old) + latencySmoothing*average
		}
		if t.firstTokenSeconds.CompareAndSwap(old, math.Float64bits(average)) {
			return
		}
	}
}

// FirstTokenSeconds returns the moving average of the time to first token in
// seconds, or 0 without samples.
func (t *Tracker) FirstTokenSeconds() float64 {
	return math.Float64frombits(t.firstTokenSeconds.Load())
}

// recordSample records the count at now.
func (t *Tracker) recordSample(now time.Time) {
	if len(t.samples) == maxSamples {
		t.samples = append(t.samples[:0], t.samples[1:]...)
	}
	t.samples = append(t.samples, sentSample{now, t.sent.Load()})
}

// sentUntil returns the count in the newest sample that is not after at. Before
// the first sample it is 0, so that too much work counts as sent since rather
// than too little.
func (t *Tracker) sentUntil(at time.Time) int64 {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if !t.samples[i].at.After(at) {
			return t.samples[i].sent
		}
	}
	if len(t.samples) == maxSamples {
		return t.samples[0].sent
	}
	return 0
}
