package formation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/engine"
)

// TestKeepsTheModelOfAnInstanceThatLeftItsGroup guards against members of broken groups that
// count as having no weights and are given to another model (LOST on cascade-shutter).
func TestKeepsTheModelOfAnInstanceThatLeftItsGroup(t *testing.T) {
	g := NewWithT(t)
	c := &Controller{termState: newTermState(1, time.Now())}
	see := func(in engine.Instance) string { return c.withLoadedModels([]*engine.Instance{&in})[0].Model }
	member := engine.Membership{Group: "g", Epoch: 1}
	g.Expect(see(engine.Instance{ID: "e", StartedMs: 1, Model: "large", Membership: member})).To(Equal("large"))
	g.Expect(see(engine.Instance{ID: "e", StartedMs: 1})).To(Equal("large"))
	g.Expect(see(engine.Instance{ID: "e", StartedMs: 2})).To(BeEmpty())
	g.Expect(see(engine.Instance{ID: "e", StartedMs: 2, Model: "small", Membership: member})).To(Equal("small"))
	c.withLoadedModels(nil)
	g.Expect(see(engine.Instance{ID: "e", StartedMs: 2})).To(BeEmpty())
}
