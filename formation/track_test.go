package formation

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/engine"
)

// TestKeepsTheModelOfAnInstanceThatLeftItsGroup guards against members of broken groups that
// count as having no weights and are given to another model (LOST on cascade-shutter).
func TestKeepsTheModelOfAnInstanceThatLeftItsGroup(t *testing.T) {
	g := NewWithT(t)
	c := &Controller{termState: newTermState(1, nil, time.Now())}
	see := func(in engine.Instance) string { return c.withLoadedModels([]*engine.Instance{&in})[0].Model }
	member := engine.Membership{Group: "g", Epoch: 1}
	g.Expect(see(engine.Instance{ID: "e", StartedMs: 1, Model: "large", Membership: member})).To(Equal("large"))
	g.Expect(see(engine.Instance{ID: "e", StartedMs: 1})).To(Equal("large"))
	g.Expect(see(engine.Instance{ID: "e", StartedMs: 2})).To(BeEmpty())
	g.Expect(see(engine.Instance{ID: "e", StartedMs: 2, Model: "small", Membership: member})).To(Equal("small"))
	c.withLoadedModels(nil)
	g.Expect(see(engine.Instance{ID: "e", StartedMs: 2})).To(BeEmpty())
}

// Guards against epochs that wrap around, or that engines and other nodes refuse, because
// another writer's entry lists an absurd one, and against a group of an earlier holder that
// counts as formed in this term because the record of the lease was lost.
func TestEpochsFollowOnlyPlausibleOnes(t *testing.T) {
	const base = 7 * epochsPerTerm
	for _, c := range []struct {
		name  string
		epoch uint64
		next  uint64
	}{
		{"x", base - 1, base},
		{"x", base + 5, base + 6},
		{"x", math.MaxUint64, base},
		{groupName(math.MaxUint64), math.MaxUint64, base},
		{"x", engine.MaxEpoch - 1, base},
		{groupName(maxTermEpoch + 8), maxTermEpoch + 8, maxTermEpoch + 9},
	} {
		g := NewWithT(t)
		s := newTermState(7, []*engine.Group{{ID: engine.GroupID{Name: c.name, Epoch: c.epoch}}}, time.Now())
		g.Expect(s.nextEpoch).To(Equal(c.next), "after %d", c.epoch)
		g.Expect(s.firstEpoch).To(Equal(s.nextEpoch))
	}
	NewWithT(t).Expect(newTermState(math.MaxUint64, nil, time.Now()).nextEpoch).To(BeEquivalentTo(maxTermEpoch))
}
