package replica

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/fleet"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

var now = time.Unix(1_700_000_000, 0)

// ago returns a moment a number of seconds before now.
func ago(seconds float64) time.Time {
	return now.Add(-time.Duration(seconds * float64(time.Second)))
}

// voters returns the addresses "0" (this node) to n-1.
func voters(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	return names
}

// heard returns contacts of the given ages in seconds with the voters from "1".
func heard(ages ...float64) map[string]time.Time {
	contacts := map[string]time.Time{}
	for i, age := range ages {
		contacts[strconv.Itoa(i+1)] = ago(age)
	}
	return contacts
}

var never = time.Time{}

var _ = DescribeTable("Judge", // Each entry names the failure it guards against.
	func(confirmedAt time.Time, newest fleet.Revision, members int, contacts map[string]time.Time,
		until time.Time, majority bool,
	) {
		j := Judge(&Knowledge{
			Now: now, Held: true, Revision: 5, Newest: newest, ConfirmedAt: confirmedAt,
			Self: "0", Electorate: voters(members), HeardAt: contacts,
		}, Rules{}.withDefaults())
		Expect(j.ServeUntil).To(Equal(until))
		Expect(j.Majority).To(Equal(majority))
	},
	Entry("platform outage with all peers: stopping would be a full outage",
		ago(60), fleet.Revision(5), 9, heard(1, 1, 1, 1, 1, 1, 1, 1), ago(1).Add(5*time.Second), true),
	Entry("isolated from both: serving beyond 9 s would miss the bound of 12 s",
		ago(8), fleet.Revision(5), 9, heard(8, 8, 8, 8, 8, 8, 8, 8), ago(-1), false),
	Entry("isolated from both, later: a stopped node must not start again",
		ago(10), fleet.Revision(5), 9, heard(10, 10, 10, 10, 10, 10, 10, 10), ago(1), false),
	Entry("region split, minority without platform: the other side may accept notes",
		ago(20), fleet.Revision(5), 9, heard(1, 1, 1, 20, 20, 20, 20, 20), ago(11), false),
	Entry("region split, majority without platform: nothing can be accepted",
		ago(20), fleet.Revision(5), 9, heard(1, 2, 1, 1, 20, 20, 20, 20), ago(2).Add(5*time.Second), true),
	Entry("half of an even number is no majority",
		ago(20), fleet.Revision(5), 8, heard(1, 1, 1, 20, 20, 20, 20), ago(11), false),
	Entry("a majority of which one has a newer revision: an old revision must not stay in force",
		ago(20), fleet.Revision(6), 9, heard(1, 1, 1, 1, 1, 1, 1, 1), ago(11), true),
	Entry("fresh node with one stale peer only",
		never, fleet.Revision(5), 9, heard(1), never, false),
	Entry("fresh node with a majority of the peers in its settings",
		never, fleet.Revision(5), 9, heard(1, 1, 1, 1), ago(1).Add(5*time.Second), true),
	Entry("frozen node that wakes: old contacts and confirmations must not count",
		ago(30), fleet.Revision(5), 3, heard(30, 30), ago(21), false),
	Entry("node without peers is its own majority",
		never, fleet.Revision(5), 1, nil, now.Add(5*time.Second), true),
)

var _ = Describe("Judge", func() {
	It("never lets a node serve without a configuration", func() {
		// Guards against a fresh node that serves with nothing.
		j := Judge(&Knowledge{Now: now, Self: "0", Electorate: voters(1)}, Rules{}.withDefaults())
		Expect(j.ServeUntil.IsZero()).To(BeTrue())
	})
})

var _ = Describe("electorate", func() {
	rules := Rules{}.withDefaults()
	var e *electorate
	BeforeEach(func() { e = newElectorate("0", []string{"0", "1", "2"}, ago(100)) })

	It("is frozen while unconfirmed", func() {
		// Guards against an isolated node that shrinks its majority, or one that
		// counts strangers.
		e.update(&Knowledge{Now: now, HeardAt: map[string]time.Time{"9": now}}, Judgement{Majority: true}, rules)
		Expect(e.voters()).To(ConsistOf("0", "1", "2"))
	})

	It("adds members but drops none while confirmed in a minority", func() {
		// Guards against a node isolated from its peers that becomes its own
		// majority and goes on serving when the platform is gone too.
		e.update(&Knowledge{Now: now, HeardAt: map[string]time.Time{"9": now}}, Judgement{Confirmed: true}, rules)
		Expect(e.voters()).To(ConsistOf("0", "1", "2", "9"))
	})

	It("drops members that announced their stop and counts them again as new processes", func() {
		// Guards against notes refused after a planned removal, because the node
		// that left still counts.
		heard := map[string]time.Time{"1": ago(1), "2": now}
		in := Judgement{Confirmed: true, Majority: true}
		e.update(&Knowledge{Now: now, HeardAt: heard, Left: map[string]bool{"1": true}}, in, rules)
		Expect(e.voters()).To(ConsistOf("0", "2"))
		e.update(&Knowledge{Now: now, HeardAt: heard}, in, rules)
		Expect(e.voters()).To(ConsistOf("0", "1", "2"))
	})

	It("drops members silent for 60 s while confirmed in a majority", func() {
		// Guards against replaced nodes that count for ever.
		e.update(&Knowledge{Now: now, HeardAt: map[string]time.Time{"1": ago(59)}},
			Judgement{Confirmed: true, Majority: true}, rules)
		Expect(e.voters()).To(ConsistOf("0", "1"))
	})
})
