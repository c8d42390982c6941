package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Row is one measured figure. It is written as one JSON object per line.
type Row struct {
	Measure string  `json:"measure"`
	Policy  string  `json:"policy"`
	Case    string  `json:"case"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Seed    uint64  `json:"seed"`
}

// Emit records one figure.
type Emit func(policy, caseName string, value float64, unit string)

// Measurement is one measurement with all its policies and cases.
type Measurement struct {
	// Name is the value of Row.Measure.
	Name string
	// Run emits every figure. All its random numbers are derived from seed.
	Run func(ctx context.Context, seed uint64, emit Emit) error
}

// All returns the measurements in the order in which they run.
func All() []Measurement {
	return []Measurement{
		{Name: "choice", Run: choice},
		{Name: "evenness", Run: evenness},
		{Name: "limits", Run: limits},
		{Name: "overload", Run: overloads},
		dissemination(),
		capacity(),
		path(),
		groupsMeasurement(),
		retriesMeasurement(),
		bodies(184),
		bodies(284),
	}
}

// Options are the options of Run.
type Options struct {
	// Only names the measurements to run; empty means all.
	Only []string
	// Seed is the seed of all measurements.
	Seed uint64
	// Lines receives one JSON object per row.
	Lines io.Writer
	// Table receives the rows as a human-readable table.
	Table io.Writer
}

// Run runs the selected measurements one after another.
func Run(ctx context.Context, options Options) error {
	for _, m := range All() {
		if !isSelected(options.Only, m.Name) {
			continue
		}
		if err := runMeasurement(ctx, m, options); err != nil {
			return fmt.Errorf("measure %s: %w", m.Name, err)
		}
	}
	return nil
}

// isSelected reports whether only has the name or is empty.
func isSelected(only []string, name string) bool {
	if len(only) == 0 {
		return true
	}
	for _, o := range only {
		if o == name {
			return true
		}
	}
	return false
}

// runMeasurement runs a measurement and writes its rows.
func runMeasurement(ctx context.Context, m Measurement, options Options) error {
	started := time.Now()
	lines := json.NewEncoder(options.Lines)
	table := tabwriter.NewWriter(options.Table, 0, 0, 2, ' ', 0)
	var failed error
	err := m.Run(ctx, options.Seed, func(policy, caseName string, value float64, unit string) {
		row := Row{Measure: m.Name, Policy: policy, Case: caseName, Value: value, Unit: unit, Seed: options.Seed}
		if err := lines.Encode(row); err != nil && failed == nil {
			failed = err
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.6g\t%s\n", m.Name, policy, caseName, value, unit)
	})
	if err == nil {
		err = failed
	}
	if flushErr := table.Flush(); err == nil {
		err = flushErr
	}
	fmt.Fprintf(options.Table, "%s took %.1f s\n\n", m.Name, time.Since(started).Seconds())
	return err
}
