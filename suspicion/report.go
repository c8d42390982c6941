package suspicion

import (
	"cmp"
	"math"
	"slices"
)

// Report is what one or several nodes tell others about a server: the number of nodes to
// which it is silent and to which it is gone, and how many requests it failed and answered
// lately. It packs them in this order, the lowest bits first, and saturates. The counts are
// in units of 1/countUnits.
type Report uint32

const (
	nodeBits, countBits = 6, 10
	maxNodes            = 1<<nodeBits - 1
	maxCount            = 1<<countBits - 1
	countUnits          = 4
)

// newReport packs a report.
func newReport(silent, gone int, failed, answered float64) Report {
	count := func(x float64) Report { return Report(min(math.Round(x*countUnits), maxCount)) }
	nodes := func(n int) Report { return Report(min(max(n, 0), maxNodes)) }
	return nodes(silent) | nodes(gone)<<nodeBits | count(max(failed, 0))<<(2*nodeBits) | count(max(answered, 0))<<(2*nodeBits+countBits)
}

// Silent returns the number of nodes to which the server is silent.
func (r Report) Silent() int { return int(r & maxNodes) }

// Gone returns the number of nodes to which the server is gone.
func (r Report) Gone() int { return int(r >> nodeBits & maxNodes) }

// Failed returns the number of requests that the server failed lately.
func (r Report) Failed() float64 { return float64(r>>(2*nodeBits)&maxCount) / countUnits }

// Answered returns the number of requests that the server answered lately.
func (r Report) Answered() float64 {
	return float64(r>>(2*nodeBits+countBits)&maxCount) / countUnits
}

// Unresponsive returns the number of nodes to which the server is silent or gone.
func (r Report) Unresponsive() int { return r.Silent() + r.Gone() }

// Add returns the sum of two reports.
func (r Report) Add(other Report) Report {
	return newReport(r.Silent()+other.Silent(), r.Gone()+other.Gone(), r.Failed()+other.Failed(), r.Answered()+other.Answered())
}

// Without returns the report without another one that it contains. Counts that have changed
// since the sum was made don't fall below zero.
func (r Report) Without(other Report) Report {
	return newReport(r.Silent()-other.Silent(), r.Gone()-other.Gone(), r.Failed()-other.Failed(), r.Answered()-other.Answered())
}

// Report returns what a node tells others of its evidence. It is zero if there is nothing to
// tell: answers matter only of a server that has failed requests, here or at other nodes.
func (e Evidence) Report(others Report) Report {
	silent, gone := 0, 0
	switch e.Hold {
	case Silent:
		silent = 1
	case Gone:
		gone = 1
	}
	if e.Failed < negligible && others.Failed() == 0 {
		return newReport(silent, gone, 0, 0)
	}
	return newReport(silent, gone, e.Failed, e.Answered)
}

// MaxReports is the number of reports that a node sends at a time: 160 bytes of a datagram.
const MaxReports = 16

// Worst returns the reports of the servers with the most evidence against them, up to
// MaxReports.
func Worst(reports map[uint32]Report) map[uint32]Report {
	if len(reports) <= MaxReports {
		return reports
	}
	servers := make([]uint32, 0, len(reports))
	for server := range reports {
		servers = append(servers, server)
	}
	slices.SortFunc(servers, func(a, b uint32) int {
		x, y := reports[a], reports[b]
		return cmp.Or(cmp.Compare(y.Unresponsive(), x.Unresponsive()), cmp.Compare(y.Failed(), x.Failed()), cmp.Compare(a, b))
	})
	worst := make(map[uint32]Report, MaxReports)
	for _, server := range servers[:MaxReports] {
		worst[server] = reports[server]
	}
	return worst
}
