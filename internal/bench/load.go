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

const (
	// histogramMin and histogramMax are the limits of the histograms, in microseconds.
	histogramMin = 1
	histogramMax = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the number of significant digits of recorded values.
	histogramDigits = 3
)

// Load configures a closed-loop load: each caller sends its next request when the
// previous one has ended.
type Load struct {
	// Seeds are the daemons' addresses for callers.
	Seeds        []string
	Organisation string
	Key          string
	Model        string
	// Callers is the number of concurrent callers, and so of requests in flight.
	Callers   int
	MaxTokens int
	Duration  time.Duration
	// CheckOutput compares every output with the one that the stand-ins compute.
	CheckOutput bool
}

// Quantiles are times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50Ms"`
	P95 float64 `json:"p95Ms"`
	P99 float64 `json:"p99Ms"`
	Max float64 `json:"maxMs"`
}

// Report is the result of a load.
type Report struct {
	Seconds   float64 `json:"seconds"`
	Completed int     `json:"completed"`
	Tokens    int     `json:"tokens"`
	// FirstToken is the time from the start of a request to its first token.
	FirstToken Quantiles `json:"firstToken"`
	// BetweenTokens is the time between consecutive tokens of a request.
	BetweenTokens Quantiles `json:"betweenTokens"`
	// Failed counts errors by "verdict reason".
	Failed map[string]int `json:"failed"`
	// Wrong counts completed requests with another output than the expected one.
	Wrong int `json:"wrong"`
}

// collector collects the results of all callers.
type collector struct {
	mu            sync.Mutex
	report        Report
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

func newCollector() *collector {
	return &collector{
		report:        Report{Failed: make(map[string]int)},
		firstToken:    hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		betweenTokens: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

// Run sends requests for the duration, waits for those in flight and writes the report
// as JSON. It returns an error if an output was wrong.
func (l Load) Run(ctx context.Context, out io.Writer) error {
	client := caller.New(caller.Config{Seeds: l.Seeds, Key: l.Key})
	defer client.Close()
	c := newCollector()
	started := time.Now()
	var group sync.WaitGroup
	for id := range l.Callers {
		group.Go(func() {
			for n := 0; time.Since(started) < l.Duration && ctx.Err() == nil; n++ {
				l.sendRequest(ctx, client, c, fmt.Sprintf("load %d of caller %d", n, id))
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
		return fmt.Errorf("%d of %d completed requests had a wrong output", report.Wrong, report.Completed)
	}
	return nil
}

// sendRequest sends one streamed completion and records its result.
func (l Load) sendRequest(ctx context.Context, client *caller.Client, c *collector, prompt string) {
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
	if l.CheckOutput && text != standin.Text(l.Organisation, prompt, 0, l.MaxTokens) {
		c.report.Wrong++
	}
	for i, at := range times {
		if i == 0 {
			_ = c.firstToken.RecordValue(at.Sub(sent).Microseconds())
		} else {
			_ = c.betweenTokens.RecordValue(at.Sub(times[i-1]).Microseconds())
		}
	}
}

// finish completes and returns the report.
func (c *collector) finish(elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Seconds = elapsed.Seconds()
	c.report.FirstToken = quantiles(c.firstToken)
	c.report.BetweenTokens = quantiles(c.betweenTokens)
	return c.report
}

// quantiles returns the quantiles of a histogram of microseconds, in milliseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000.0
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P95: float64(h.ValueAtQuantile(95)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max: float64(h.Max()) / microsPerMilli,
	}
}
