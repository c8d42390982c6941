package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/drain"
)

// Guards against requests that are taken so late that they can't be answered before the
// process ends, and against refusals of those that can.
func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	grace := drain.Grace{Total: 8000 * ms, Answers: 7300 * ms}
	taken := func(within, start time.Duration) drain.Decision {
		return drain.Decision{Take: true, Within: within, StartWithin: start}
	}
	for name, c := range map[string]struct {
		since time.Duration
		drain.Request
		want drain.Decision
	}{
		"the deadline is before the end": {6000 * ms, drain.Request{Kind: drain.Stream, Deadline: 1300 * ms}, taken(1300*ms, 1300*ms)},
		"early":                          {2000 * ms, drain.Request{Deadline: 9000 * ms}, taken(5300*ms, 666666666)},
		"a stream, early":                {2000 * ms, drain.Request{Kind: drain.Stream, Deadline: 9000 * ms, Expected: 5000 * ms}, taken(5300*ms, 300*ms)},
		"a stream that takes too long":   {2000 * ms, drain.Request{Kind: drain.Stream, Deadline: 9000 * ms, Expected: 5400 * ms}, drain.Decision{}},
		"a short stream, late":           {2700 * ms, drain.Request{Kind: drain.Stream, Deadline: 9000 * ms, Expected: 100 * ms}, drain.Decision{}},
		"of unknown duration, late":      {2700 * ms, drain.Request{Deadline: 9000 * ms}, drain.Decision{}},
		"repeatable, late":               {6000 * ms, drain.Request{Deadline: 2500 * ms, Expected: 200 * ms}, taken(1300*ms, 500*ms)},
		"repeatable, too late":           {6600 * ms, drain.Request{Deadline: 2500 * ms, Expected: 200 * ms}, drain.Decision{}},
		"once, late":                     {5000 * ms, drain.Request{Kind: drain.Once, Deadline: 2500 * ms, Expected: 200 * ms}, taken(2300*ms, 700*ms)},
		"once, too late":                 {6000 * ms, drain.Request{Kind: drain.Once, Deadline: 2500 * ms, Expected: 200 * ms}, drain.Decision{}},
		"at the end":                     {7300 * ms, drain.Request{Deadline: 1 * ms, Expected: 1 * ms}, drain.Decision{}},
		"the grace is too short":         {0, drain.Request{Deadline: 9000 * ms, Expected: 8000 * ms}, drain.Decision{}},
	} {
		NewWithT(t).Expect(grace.Decide(c.since, c.Request)).To(Equal(c.want), name)
	}
}
