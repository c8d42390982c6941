package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// ids returns the IDs of instances, with "-" after those that are leaving.
func ids(instances []*Instance) (list []string) {
	for _, in := range instances {
		id := in.ID
		if in.Leaving {
			id += "-"
		}
		list = append(list, id)
	}
	return list
}

// Guards against a restored list by which instances that are gone get requests, live ones
// get none, and leaving ones count as ready again.
func TestRestoredListIsNoNews(t *testing.T) {
	g := NewWithT(t)
	h, now := NewHistory(), time.Unix(1e9, 0)
	merge := func(era uint64, listed ...*Instance) []string {
		merged, _ := h.Merge(era, listed, now)
		return ids(merged)
	}
	a, b, c := &Instance{ID: "a", Sequence: 1}, &Instance{ID: "b", Sequence: 1}, &Instance{ID: "c", Sequence: 4}
	leaving := &Instance{ID: "b", Sequence: 2, Leaving: true}
	g.Expect(merge(1, a, b)).To(ConsistOf("a", "b"))
	now = now.Add(time.Second)
	g.Expect(merge(1, leaving, c)).To(ConsistOf("b-", "c"))

	now = now.Add(time.Second)
	g.Expect(merge(2, a, b)).To(ConsistOf("b-", "c"))
	now = now.Add(time.Second)
	g.Expect(merge(2, a, leaving, c)).To(ConsistOf("b-", "c"), "c is back, a is old")
	g.Expect(merge(2, &Instance{ID: "a", Sequence: 2}, leaving, c)).To(ConsistOf("a", "b-", "c"), "a is alive")
	g.Expect(merge(2, leaving, c)).To(ConsistOf("b-", "c"), "a is removed")

	now = now.Add(time.Second)
	g.Expect(merge(3, b)).To(ConsistOf("b-", "c"))
	_, again := h.Merge(3, []*Instance{b}, now)
	g.Expect(again).To(Equal(now.Add(returnTime)))
	now = again
	g.Expect(merge(3, b)).To(ConsistOf("b-"), "c is gone")
	_, again = h.Merge(3, []*Instance{b}, now)
	now = again
	g.Expect(merge(3, b)).To(ConsistOf("b"), "the list counts again")
	_, again = h.Merge(3, []*Instance{b}, now)
	g.Expect(again).To(BeZero())
}

// Guards against a restarted instance whose clock was set back, and which is ignored
// because its start seems to be older.
func TestWithoutARestoreTheListCounts(t *testing.T) {
	g := NewWithT(t)
	h, now := NewHistory(), time.Unix(1e9, 0)
	_, _ = h.Merge(0, []*Instance{{ID: "a", StartedMs: 9, Sequence: 7}}, now)
	merged, again := h.Merge(0, []*Instance{{ID: "a", StartedMs: 5, Sequence: 1}}, now)
	g.Expect(merged[0].StartedMs).To(BeEquivalentTo(5))
	g.Expect(again).To(BeZero())
	_, _ = h.Merge(0, nil, now)
	merged, _ = h.Merge(0, []*Instance{{ID: "a", StartedMs: 5, Sequence: 1}}, now)
	g.Expect(merged).To(HaveLen(1))
}

// Guards against an entry from before a join that the store writes late, and by which the
// members of an open group count as free (TWO).
func TestEntriesThatAreWrittenLateAreNoNews(t *testing.T) {
	g := NewWithT(t)
	h, now := NewHistory(), time.Unix(1e9, 0)
	merge := func(listed ...*Instance) []*Instance {
		merged, again := h.Merge(0, listed, now)
		g.Expect(again).To(BeZero())
		return merged
	}
	early := &Instance{ID: "a", StartedMs: 5, Sequence: 3}
	joined := &Instance{ID: "a", StartedMs: 5, Sequence: 4, Membership: Membership{Group: "g", Epoch: 1, Phase: Open}}
	closed := &Instance{ID: "a", StartedMs: 5, Sequence: 9}
	g.Expect(merge(early)).To(ConsistOf(early))
	g.Expect(merge(joined)).To(ConsistOf(joined))
	g.Expect(merge(early)).To(ConsistOf(joined))
	now = now.Add(time.Minute)
	g.Expect(merge(early)).To(ConsistOf(joined))
	g.Expect(merge(closed)).To(ConsistOf(closed), "a newer entry counts")

	g.Expect(merge()).To(BeEmpty())
	g.Expect(merge(joined)).To(BeEmpty(), "older than the entry that was removed")
	g.Expect(merge(closed)).To(ConsistOf(closed), "the instance is back")
	restarted := &Instance{ID: "a", StartedMs: 6, Sequence: 1}
	g.Expect(merge(restarted)).To(ConsistOf(restarted))
	g.Expect(merge(&Instance{ID: "b", Sequence: 7})).To(HaveLen(1))
	g.Expect(merge(&Instance{ID: "b", Sequence: 1})[0].Sequence).To(BeEquivalentTo(1), "perhaps a restart")
}

// Guards against an entry of another writer that lacks the group of an open head, or its start
// as well, and by which the members of the group count as free (TWO).
func TestEntriesThatLackTheGroupAreNoNews(t *testing.T) {
	for _, known := range []*Instance{
		{ID: "a", StartedMs: 5, Sequence: 4, Membership: Membership{Group: "g", Epoch: 1, Phase: Open}},
		{ID: "a", StartedMs: 5, Membership: Membership{Group: "g", Epoch: 1, Phase: Ready}},
	} {
		g := NewWithT(t)
		h, now := NewHistory(), time.Unix(1e9, 0)
		merge := func(listed ...*Instance) []*Instance {
			merged, _ := h.Merge(0, listed, now)
			return merged
		}
		foreign := []*Instance{
			{ID: "a", StartedMs: 5, Sequence: known.Sequence},
			{ID: "a", Sequence: known.Sequence}, {ID: "a", Sequence: known.Sequence + 1},
		}
		g.Expect(merge(known)).To(ConsistOf(known))
		for _, in := range foreign {
			g.Expect(merge(in)).To(ConsistOf(known))
			now = now.Add(time.Second)
		}
		g.Expect(merge()).To(BeEmpty())
		for _, in := range foreign {
			g.Expect(merge(in)).To(BeEmpty())
		}
		g.Expect(merge(known)).To(ConsistOf(known), "the instance is back")
		broken := *known
		broken.Membership.Phase = Broken
		g.Expect(merge(&broken)).To(ConsistOf(&broken), "the same count, but its group is there")
		left := &Instance{ID: "a", StartedMs: 5, Sequence: known.Sequence + 1}
		g.Expect(merge(left)).To(ConsistOf(left))
	}
}

// Guards against an entry of an earlier start that the store writes late, and by which the
// members of an open group count as free (TWO).
func TestEntriesOfAReplacedStartAreNoNews(t *testing.T) {
	g := NewWithT(t)
	h, now := NewHistory(), time.Unix(1e9, 0)
	merge := func(era uint64, listed ...*Instance) []*Instance {
		merged, _ := h.Merge(era, listed, now)
		return merged
	}
	first := &Instance{ID: "a", StartedMs: 1000, Sequence: 40}
	late := &Instance{ID: "a", StartedMs: 1000, Sequence: 41}
	second := &Instance{ID: "a", StartedMs: 9000, Sequence: 4, Membership: Membership{Group: "g2", Epoch: 2, Phase: Open}}
	merge(0, first)
	g.Expect(merge(0, second)).To(ConsistOf(second))
	g.Expect(merge(0, late)).To(ConsistOf(second), "replaced by a later start")
	now = now.Add(2 * time.Second)
	g.Expect(merge(0, late)).To(ConsistOf(second))
	g.Expect(merge(0)).To(BeEmpty())
	g.Expect(merge(0, late)).To(BeEmpty(), "also while the instance isn't listed")
	g.Expect(merge(0, second)).To(ConsistOf(second))

	setBack := &Instance{ID: "a", StartedMs: 5000, Sequence: 1}
	g.Expect(merge(0, setBack)).To(ConsistOf(setBack), "the clock of the instance was set back")
	second.Sequence++
	g.Expect(merge(0, second)).To(ConsistOf(setBack), "replaced by an earlier start")
	g.Expect(merge(1, second)).To(ConsistOf(setBack), "also in a restored list")
	now = now.Add(rewriteTime)
	g.Expect(merge(1, second)).To(ConsistOf(setBack))
}

// Guards against the same for a node that has seen the later start only: an entry that counts
// far too many writes for a new start is of an earlier one.
func TestLateEntriesOfAnUnseenStartAreNoNews(t *testing.T) {
	g := NewWithT(t)
	h, now := NewHistory(), time.Unix(1e9, 0)
	known := &Instance{ID: "a", StartedMs: 9000, Sequence: 4, Membership: Membership{Group: "g2", Epoch: 2, Phase: Open}}
	late := &Instance{ID: "a", StartedMs: 1000, Sequence: 41}
	merge := func(listed *Instance) []*Instance {
		merged, _ := h.Merge(0, []*Instance{listed}, now)
		return merged
	}
	merge(known)
	g.Expect(merge(late)).To(ConsistOf(known))
	now = now.Add(time.Second)
	g.Expect(merge(known)).To(ConsistOf(known))
	now = now.Add(maxWriteDelay)
	g.Expect(merge(late)).To(ConsistOf(known), "not the newest start before")
	setBack := &Instance{ID: "a", StartedMs: 2000, Sequence: 41}
	g.Expect(merge(setBack)).To(ConsistOf(setBack), "too late for a delayed write: the clock was set back")
}

// Guards against an entry that no later one of the instance supersedes, and that stays for as
// long as the instance runs.
func TestAFalseEntryIsSupersededWithinSeconds(t *testing.T) {
	member := Membership{Group: "g1", Epoch: 1, Phase: Open}
	for name, c := range map[string]struct {
		heartbeats, wrong Instance
	}{
		"a sequence that the instance doesn't reach": {Instance{StartedMs: 5000, Sequence: 10, Membership: member}, Instance{StartedMs: 5000, Sequence: 9_000_000}},
		"a start that the instance doesn't reach":    {Instance{StartedMs: 5000, Sequence: 10, Membership: member}, Instance{StartedMs: 9_000_000, Sequence: 1}},
		"an earlier start":                           {Instance{StartedMs: 5000, Sequence: 10, Membership: member}, Instance{StartedMs: 1, Sequence: 1}},
		"a start where the instance tells none":      {Instance{Sequence: 10, Membership: member}, Instance{StartedMs: 5000, Sequence: 1}},
		"the same sequence, but leaving":             {Instance{StartedMs: 5000, Sequence: 10, Membership: member}, Instance{StartedMs: 5000, Sequence: 10, Leaving: true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h, now := NewHistory(), time.Unix(1e9, 0)
			c.heartbeats.ID, c.wrong.ID = "a", "a"
			heartbeat := func() *Instance {
				c.heartbeats.Sequence++
				in := c.heartbeats
				return &in
			}
			h.Merge(0, []*Instance{&c.heartbeats}, now)
			h.Merge(0, []*Instance{&c.wrong}, now)
			end := now.Add(maxWriteDelay + 3*time.Second)
			for ; now.Before(end); now = now.Add(1200 * time.Millisecond) {
				h.Confirm(now)
				h.Merge(0, []*Instance{heartbeat()}, now)
			}
			last := heartbeat()
			merged, again := h.Merge(0, []*Instance{last}, now)
			g.Expect(merged).To(ConsistOf(last))
			g.Expect(again).To(BeZero())
		})
	}
}

// Guards against an entry that heals only with the next change: an instance whose heartbeats
// change nothing but the sequence may leave its entry as it is.
func TestAnEntryThatStaysListedCounts(t *testing.T) {
	g := NewWithT(t)
	h, now := NewHistory(), time.Unix(1e9, 0)
	wrong := &Instance{ID: "a", StartedMs: 5000, Sequence: 9_000_000}
	right := &Instance{ID: "a", StartedMs: 5000, Sequence: 11, Membership: Membership{Group: "g1", Epoch: 1, Phase: Open}}
	merge := func(listed *Instance) ([]*Instance, time.Time) {
		h.Confirm(now)
		return h.Merge(0, []*Instance{listed}, now)
	}
	_, _ = merge(wrong)
	start := now
	merged, again := merge(right)
	g.Expect(merged).To(ConsistOf(wrong))
	for !again.IsZero() {
		g.Expect(again).To(BeTemporally(">", now))
		g.Expect(again).To(BeTemporally("<=", start.Add(maxWriteDelay)))
		now = again
		merged, again = merge(right)
	}
	g.Expect(merged).To(ConsistOf(right))
	g.Expect(now).To(Equal(start.Add(maxWriteDelay)))
}

// Guards against a late entry that counts because the store was down, and nobody could
// replace it.
func TestTimeWithoutTheStoreDoesNotProveAnEntry(t *testing.T) {
	g := NewWithT(t)
	h, now := NewHistory(), time.Unix(1e9, 0)
	late := &Instance{ID: "a", StartedMs: 5000, Sequence: 3}
	joined := &Instance{ID: "a", StartedMs: 5000, Sequence: 4, Membership: Membership{Group: "g", Epoch: 1, Phase: Open}}
	merge := func() []*Instance {
		merged, _ := h.Merge(0, []*Instance{late}, now)
		return merged
	}
	h.Confirm(now)
	h.Merge(0, []*Instance{joined}, now)
	for range 60 {
		g.Expect(merge()).To(ConsistOf(joined))
		now = now.Add(time.Second)
	}
	for range int(maxWriteDelay / time.Second) {
		h.Confirm(now)
		g.Expect(merge()).To(ConsistOf(joined), "the store has been back for less than the delay")
		now = now.Add(time.Second)
	}
	h.Confirm(now)
	g.Expect(merge()).To(ConsistOf(late))
}

// Guards against entries that repeat the sequence of a newer one: a leaving instance that
// counts as ready again (DRAIN), or a group in an earlier phase.
func TestEntriesWithTheSameSequenceAreOrdered(t *testing.T) {
	at := func(epoch uint64, phase Phase) Membership { return Membership{Group: "g", Epoch: epoch, Phase: phase} }
	for name, c := range map[string]struct{ older, newer Instance }{
		"ready, leaving":      {Instance{}, Instance{Leaving: true}},
		"earlier group":       {Instance{Membership: at(1, Open)}, Instance{Membership: at(2, Joining)}},
		"joining, ready":      {Instance{Membership: at(1, Joining)}, Instance{Membership: at(1, Ready)}},
		"ready, open":         {Instance{Membership: at(1, Ready)}, Instance{Membership: at(1, Open)}},
		"closing, ready":      {Instance{Membership: at(1, Closing)}, Instance{Membership: at(1, Ready)}},
		"open, broken":        {Instance{Membership: at(1, Open)}, Instance{Membership: at(1, Broken)}},
		"in a group, leaving": {Instance{Membership: at(2, Open)}, Instance{Membership: at(2, Open), Leaving: true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, in := range []*Instance{&c.older, &c.newer} {
				in.ID, in.StartedMs, in.Sequence = "a", 5, 4
			}
			now := time.Unix(1e9, 0)
			h := NewHistory()
			h.Merge(0, []*Instance{&c.older}, now)
			merged, _ := h.Merge(0, []*Instance{&c.newer}, now)
			g.Expect(merged).To(ConsistOf(&c.newer))
			merged, _ = h.Merge(0, []*Instance{&c.older}, now)
			g.Expect(merged).To(ConsistOf(&c.newer))
		})
	}
}

// Guards against delays of several entries that add up to the time after which one counts.
func TestEachEntryIsHeldBackAnew(t *testing.T) {
	g := NewWithT(t)
	h, now := NewHistory(), time.Unix(1e9, 0)
	late := &Instance{ID: "a", StartedMs: 5000, Sequence: 3}
	joined := &Instance{ID: "a", StartedMs: 5000, Sequence: 4, Membership: Membership{Group: "g", Epoch: 1, Phase: Open}}
	merge := func(listed ...*Instance) []*Instance {
		h.Confirm(now)
		merged, _ := h.Merge(0, listed, now)
		now = now.Add(time.Second)
		return merged
	}
	merge(joined)
	for range 2 * maxWriteDelay / time.Second {
		g.Expect(merge(late)).To(ConsistOf(joined))
		g.Expect(merge(joined)).To(ConsistOf(joined))
	}
	g.Expect(merge()).To(BeEmpty())
	for range 2 * maxWriteDelay / time.Second {
		g.Expect(merge(late)).To(BeEmpty())
		g.Expect(merge()).To(BeEmpty())
	}
}
