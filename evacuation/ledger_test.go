package evacuation

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/object"
)

const inForceWithin = 5 * time.Second

var start = time.Unix(1e9, 0)

// testLedger is a ledger whose log is kept.
type testLedger struct {
	*Ledger
	lines strings.Builder
}

func newTestLedger() *testLedger {
	l := &testLedger{}
	l.Ledger = NewLedger(inForceWithin, log.NewLogfmtLogger(&l.lines), metrics.NewRegistry())
	return l
}

// at updates the ledger at a time after the start with what the store shows in an era: names
// of domains and, after "@", their revisions.
func (l *testLedger) at(after time.Duration, era uint64, shown ...string) engine.Evacuations {
	var requests []Request
	for _, text := range shown {
		name, revision, _ := strings.Cut(text, "@")
		version, err := object.NewVersion(era, uint64(len(revision)))
		if err != nil {
			panic(err)
		}
		requests = append(requests, Request{name, version})
	}
	result, _ := l.Update(era, requests, start.Add(after))
	return result
}

// Guards against requests that are sent to an evacuated domain after the bound (EVAC), and
// against a domain that is withdrawn before the others can take its load.
func TestEvacuationIsPendingBeforeItIsInForce(t *testing.T) {
	g := NewWithT(t)
	l := newTestLedger()
	g.Expect(l.at(0, 1)).To(BeEmpty())
	_, again := l.Update(1, []Request{{Domain: "a"}}, start.Add(time.Second))
	g.Expect(l.at(time.Second, 1, "a")).To(Equal(engine.Evacuations{"a": engine.EvacuationPending}))
	g.Expect(again).To(BeTemporally("<=", start.Add(time.Second+inForceWithin/4)), "time left for the change to reach the node")
	g.Expect(l.at(again.Sub(start), 1, "a")).To(Equal(engine.Evacuations{"a": engine.EvacuationInForce}))
	g.Expect(l.at(20*time.Second, 1)).To(BeEmpty())
	g.Expect(l.ReturnedAt("a")).To(Equal(start.Add(20 * time.Second)))
}

// Guards against a node that restarts during an evacuation and sends requests meanwhile.
func TestEvacuationFoundAtTheStartIsInForce(t *testing.T) {
	g := NewWithT(t)
	l := newTestLedger()
	g.Expect(l.at(0, 1, "a")).To(Equal(engine.Evacuations{"a": engine.EvacuationInForce}))
	g.Expect(l.at(time.Second, 1, "a", "b")).To(Equal(engine.Evacuations{"a": engine.EvacuationInForce, "b": engine.EvacuationPending}), "two at once")
}

// Guards against an evacuation that stays although it was taken back before it was in force.
func TestEvacuationIsTakenBackBeforeItIsInForce(t *testing.T) {
	g := NewWithT(t)
	l := newTestLedger()
	l.at(0, 1)
	l.at(time.Second, 1, "a")
	g.Expect(l.at(time.Second+100*time.Millisecond, 1)).To(BeEmpty())
	g.Expect(l.at(time.Second+200*time.Millisecond, 1, "a")).To(Equal(engine.Evacuations{"a": engine.EvacuationPending}))
}

// Guards against an evacuation that ends, or begins, because the store was restored from an
// older copy.
func TestRestoredStoreChangesNothingForSomeTime(t *testing.T) {
	g := NewWithT(t)
	inForce := func(domains ...string) engine.Evacuations {
		result := engine.Evacuations{}
		for _, d := range domains {
			result[d] = engine.EvacuationInForce
		}
		return result
	}
	l := newTestLedger()
	l.at(0, 1, "back@rrr", "held@rr")
	l.at(10*time.Second, 1, "held@rr", "late@rrrrr")
	g.Expect(l.at(20*time.Second, 1, "held@rr", "late@rrrrr")).To(Equal(inForce("held", "late")))
	restored := l.at(21*time.Second, 2, "back@rrr", "held@rr")
	g.Expect(restored).To(Equal(inForce("held", "late")), "the copy shows one that was taken back and lacks one")
	g.Expect(l.at(40*time.Second, 2, "back@rrr", "held@rr")).To(Equal(inForce("held", "late")))
	g.Expect(l.at(41*time.Second, 2, "held@rr")).To(Equal(inForce("held", "late")))
	g.Expect(l.at(42*time.Second, 2)).To(Equal(inForce("late")), "taken back by the operator")
	l.at(43*time.Second, 2, "late@rrrr")
	g.Expect(l.at(44*time.Second, 2)).To(BeEmpty(), "requested again and taken back")
	l.at(45*time.Second, 2, "new@rr")
	g.Expect(l.at(50*time.Second, 2, "new@rr")).To(Equal(inForce("new")))

	l = newTestLedger()
	l.at(0, 1, "late@rrrrr")
	l.at(time.Second, 2)
	_, again := l.Update(2, nil, start.Add(time.Second))
	g.Expect(again).To(Equal(start.Add(time.Second + restoredTime)))
	g.Expect(l.at(again.Sub(start), 2)).To(BeEmpty(), "the store counts")
}

// Guards against an evacuation that was requested in the restored store, before this node saw
// it for the first time.
func TestRequestInARestoredStoreCounts(t *testing.T) {
	g := NewWithT(t)
	l := newTestLedger()
	l.at(0, 1)
	l.at(time.Second, 2, "a")
	g.Expect(l.at(3*time.Second, 2, "a")).To(Equal(engine.Evacuations{"a": engine.EvacuationInForce}))
}

// Guards against operators who can't tell what the nodes do.
func TestChangesAreLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	l := newTestLedger()
	l.at(0, 1)
	for i := range time.Duration(30) {
		l.at(time.Second+i*100*time.Millisecond, 1, "a")
	}
	for i := range time.Duration(30) {
		l.at(5*time.Second+i*100*time.Millisecond, 1)
	}
	for _, line := range []string{"evacuation requested", "evacuation in force", "evacuation taken back"} {
		g.Expect(strings.Count(l.lines.String(), line)).To(Equal(1), line)
	}
}
