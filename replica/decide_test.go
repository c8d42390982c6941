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

// ago returns the time a number of seconds before now.
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

// contactsWithAges returns last contacts of the given ages, in seconds, with the voters
// "1", "2" and so on.
func contactsWithAges(ages ...float64) map[string]time.Time {
	contacts := map[string]time.Time{}
	for i, age := range ages {
		contacts[strconv.Itoa(i+1)] = ago(age)
	}
	return contacts
}

// unset is the zero time, which means "never" here.
var unset = time.Time{}

var _ = DescribeTable("Decide", // Each entry names the failure it guards against.
	func(confirmedAt time.Time, newest fleet.Revision, members int, contacts map[string]time.Time,
		until time.Time, majority bool,
	) {
		d := Decide(&DecisionInput{
			Now: now, HasConfiguration: true, Revision: 5, NewestRevision: newest, ConfirmedAt: confirmedAt,
			Self: "0", Voters: voters(members), LastContact: contacts,
		}, Timeouts{}.withDefaults())
		Expect(d.ServeUntil).To(Equal(until))
		Expect(d.Majority).To(Equal(majority))
	},
	Entry("platform unreachable, all peers reachable: stopping would be a full outage",
		ago(60), fleet.Revision(5), 9, contactsWithAges(1, 1, 1, 1, 1, 1, 1, 1), ago(1).Add(5*time.Second), true),
	Entry("platform and peers unreachable: serving beyond 9 s would exceed the bound of 12 s",
		ago(8), fleet.Revision(5), 9, contactsWithAges(8, 8, 8, 8, 8, 8, 8, 8), ago(-1), false),
	Entry("platform and peers unreachable for longer: a stopped node must not serve again",
		ago(10), fleet.Revision(5), 9, contactsWithAges(10, 10, 10, 10, 10, 10, 10, 10), ago(1), false),
	Entry("partition between regions, minority without platform: the other side may accept notes",
		ago(20), fleet.Revision(5), 9, contactsWithAges(1, 1, 1, 20, 20, 20, 20, 20), ago(11), false),
	Entry("partition between regions, majority without platform: the other side cannot accept notes",
		ago(20), fleet.Revision(5), 9, contactsWithAges(1, 2, 1, 1, 20, 20, 20, 20), ago(2).Add(5*time.Second), true),
	Entry("half of an even number of voters is not a majority",
		ago(20), fleet.Revision(5), 8, contactsWithAges(1, 1, 1, 20, 20, 20, 20), ago(11), false),
	Entry("majority with a member that has a newer revision: an old revision must not stay in force",
		ago(20), fleet.Revision(6), 9, contactsWithAges(1, 1, 1, 1, 1, 1, 1, 1), ago(11), true),
	Entry("new node with contact to only one, possibly stale, peer",
		unset, fleet.Revision(5), 9, contactsWithAges(1), unset, false),
	Entry("new node with contact to a majority of the peers in its settings",
		unset, fleet.Revision(5), 9, contactsWithAges(1, 1, 1, 1), ago(1).Add(5*time.Second), true),
	Entry("paused process that resumes: old contacts and confirmations must not count",
		ago(30), fleet.Revision(5), 3, contactsWithAges(30, 30), ago(21), false),
	Entry("node without peers: it is a majority of itself",
		unset, fleet.Revision(5), 1, nil, now.Add(5*time.Second), true),
)

var _ = Describe("Decide", func() {
	It("never lets a node serve without a configuration", func() {
		// Guards against a new node that serves before it has a configuration.
		d := Decide(&DecisionInput{Now: now, Self: "0", Voters: voters(1)}, Timeouts{}.withDefaults())
		Expect(d.ServeUntil.IsZero()).To(BeTrue())
	})
})

var _ = Describe("voterSet", func() {
	timeouts := Timeouts{}.withDefaults()
	var v *voterSet
	BeforeEach(func() { v = newVoterSet("0", []string{"0", "1", "2"}, ago(100)) })

	It("does not change while the node is unconfirmed", func() {
		// Guards against an isolated node that needs fewer and fewer voters for a
		// majority, and against one that counts unknown nodes.
		v.update(&DecisionInput{Now: now, LastContact: map[string]time.Time{"9": now}}, Decision{Majority: true}, timeouts)
		Expect(v.addresses()).To(ConsistOf("0", "1", "2"))
	})

	It("adds but does not remove members while the node is confirmed in a minority", func() {
		// Guards against a node isolated from its peers that becomes its own majority
		// and continues to serve when the platform is unreachable too.
		v.update(&DecisionInput{Now: now, LastContact: map[string]time.Time{"9": now}}, Decision{Confirmed: true}, timeouts)
		Expect(v.addresses()).To(ConsistOf("0", "1", "2", "9"))
	})

	It("removes leaving members and adds them again once their new processes are seen", func() {
		// Guards against notes that are refused after a planned removal because the
		// removed node still counts as a voter.
		contacts := map[string]time.Time{"1": ago(1), "2": now}
		d := Decision{Confirmed: true, Majority: true}
		v.update(&DecisionInput{Now: now, LastContact: contacts, Leaving: map[string]bool{"1": true}}, d, timeouts)
		Expect(v.addresses()).To(ConsistOf("0", "2"))
		v.update(&DecisionInput{Now: now, LastContact: contacts}, d, timeouts)
		Expect(v.addresses()).To(ConsistOf("0", "1", "2"))
	})

	It("removes members without contact for 60 s while the node is confirmed in a majority", func() {
		// Guards against replaced nodes that count as voters indefinitely.
		v.update(&DecisionInput{Now: now, LastContact: map[string]time.Time{"1": ago(59)}},
			Decision{Confirmed: true, Majority: true}, timeouts)
		Expect(v.addresses()).To(ConsistOf("0", "1"))
	})
})
