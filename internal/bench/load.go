package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanlanding/rattanlanding/caller"
	"github.com/rattanlanding/rattanlanding/internal/standin"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// Histogram limits, in microseconds.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Load describes a closed loop of callers.
type Load struct {
	// Seeds are callers' addresses of the daemons.
	Seeds        []string
	Organisation string
	Key          string
	Model        string
	// Callers is the number of requests in progress at a time.
	Callers   int
	MaxTokens int
	Duration  time.Duration
	// CheckAnswers compares every answer with the one that the stand-ins give.
	CheckAnswers bool
}

// Quantiles are times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50Ms"`
	P95 float64 `json:"p95Ms"`
	P99 float64 `json:"p99Ms"`
	Max float64 `json:"maxMs"`
}

// Report is the outcome of a load.
type Report struct {
	Seconds       float64   `json:"seconds"`
	Completed     int       `json:"completed"`
	Tokens        int       `json:"tokens"`
	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"betweenTokens"`
	// Failed counts errors by "verdict reason".
	Failed map[string]int `json:"failed"`
	// Wrong counts whole answers that were not the expected ones.
	Wrong int `json:"wrong"`
}

// collector gathers the results of all callers.
type collector struct {
	mu      sync.Mutex
	report  Report
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
}

func newCollector() *collector {
	return &collector{
		report:  Report{Failed: make(map[string]int)},
		first:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		between: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

// Run sends requests for the duration, finishes those in progress and writes
// the report as JSON. A wrong answer is an error.
func (l Load) Run(ctx context.Context, out io.Writer) error {
	client := caller.New(caller.Config{Seeds: l.Seeds, Key: l.Key})
	defer client.Close()
	c := newCollector()
	started := time.Now()
	var group sync.WaitGroup
	for id := range l.Callers {
		group.Go(func() {
			for n := 0; time.Since(started) < l.Duration && ctx.Err() == nil; n++ {
				l.request(ctx, client, c, fmt.Sprintf("load %d of caller %d", n, id))
			}
		})
	}
	group.Wait()
	report := c.finish(time.Since(started))
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return err
	}
	if report.Wrong > 0 {
		return fmt.Errorf("%d answers were wrong", report.Wrong)
	}
	return nil
}

// request sends one streamed completion.
func (l Load) request(ctx context.Context, client *caller.Client, c *collector, prompt string) {
	sent := time.Now()
	var times []time.Time
	text, err := client.Complete(ctx, caller.Completion{
		Model: l.Model, Prompt: prompt, MaxTokens: l.MaxTokens, Stream: true,
	}, func(string) { times = append(times, time.Now()) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		e := verdict.Of(err)
		c.report.Failed[e.Verdict.String()+" "+string(e.Reason)]++
		return
	}
	c.report.Completed++
	c.report.Tokens += len(times)
	if l.CheckAnswers && text != standin.Text(l.Organisation, prompt, 0, l.MaxTokens) {
		c.report.Wrong++
	}
	for i, at := range times {
		if i == 0 {
			_ = c.first.RecordValue(at.Sub(sent).Microseconds())
		} else {
			_ = c.between.RecordValue(at.Sub(times[i-1]).Microseconds())
		}
	}
}

// finish returns the report.
func (c *collector) finish(elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Seconds = elapsed.Seconds()
	c.report.FirstToken = quantiles(c.first)
	c.report.BetweenTokens = quantiles(c.between)
	return c.report
}

// quantiles reads a histogram of microseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const perMilli = 1000.0
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / perMilli,
		P95: float64(h.ValueAtQuantile(95)) / perMilli,
		P99: float64(h.ValueAtQuantile(99)) / perMilli,
		Max: float64(h.Max()) / perMilli,
	}
}
