package health

import (
	"context"
	"errors"
	"sync"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// ErrFakeDown is returned by FakeSource for an address without a report.
var ErrFakeDown = errors.New("backend server down")

// FakeSource is a StatusSource for tests. It is safe for concurrent use.
type FakeSource struct {
	mu      sync.Mutex
	reports map[string]fleet.Report
	calls   map[string]int
}

// Set sets the report of the backend server at address.
func (f *FakeSource) Set(address string, report fleet.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reports == nil {
		f.reports = make(map[string]fleet.Report)
	}
	f.reports[address] = report
}

// Down makes probes of the backend server at address fail.
func (f *FakeSource) Down(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reports, address)
}

// Calls returns the number of probes of address.
func (f *FakeSource) Calls(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[address]
}

// Status implements StatusSource.
func (f *FakeSource) Status(_ context.Context, address string) (fleet.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = make(map[string]int)
	}
	f.calls[address]++
	report, ok := f.reports[address]
	if !ok {
		return fleet.Report{}, ErrFakeDown
	}
	return report, nil
}
