package engine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Times of the model of a server, its store and a node that follows the list.
const (
	modelStep      = 100 * time.Millisecond
	modelHeartbeat = 1200 * time.Millisecond
	// modelExpiry is how long the store keeps an entry without a heartbeat.
	modelExpiry = 3 * modelHeartbeat
	// modelMaxDelay is the longest time by which the store delays a write.
	modelMaxDelay = 6 * time.Second
	// modelTrouble is how long writes are delayed, the server restarts and the store is cut off.
	modelTrouble = time.Minute
)

// modelWrite is a write that the store has yet to execute.
type modelWrite struct {
	entry Instance
	at    time.Time
}

// historyModel plays one server that writes its entry without a condition, a store that delays
// writes, and a node that merges the list. The epoch of an entry's group counts the states of
// the server in their true order.
type historyModel struct {
	random  *rand.Rand
	now     time.Time
	history *History
	server  Instance
	pending []modelWrite
	// stored is the entry in the store, nil without any; writtenAt is the server's last
	// heartbeat there.
	stored    *Instance
	writtenAt time.Time
	nextBeat  time.Time
	// cutUntil is until when the node doesn't reach the store.
	cutUntil time.Time
	listed   []*Instance
	// shown is the entry in the merged list, and seen are the starts that were listed.
	shown *Instance
	seen  map[int64]bool
}

func newHistoryModel(seed uint64) *historyModel {
	m := &historyModel{random: rand.New(rand.NewPCG(seed, 51)), now: time.Unix(1e9, 0), history: NewHistory(), seen: map[int64]bool{}}
	m.server = Instance{ID: "a", StartedMs: 1_000_000, Membership: Membership{Group: "g", Epoch: 1, Phase: Ready}}
	return m
}

// chance reports true at random, with a mean time between two occurrences.
func (m *historyModel) chance(between time.Duration) bool {
	return m.random.Float64() < modelStep.Seconds()/between.Seconds()
}

// step advances the model. It returns the entry that the merged list showed before.
func (m *historyModel) step(trouble bool) (before *Instance) {
	m.now = m.now.Add(modelStep)
	if trouble {
		m.disturb()
	}
	if !m.now.Before(m.nextBeat) {
		m.write(trouble)
	}
	m.execute()
	if !m.now.Before(m.cutUntil) {
		m.listed = nil
		if m.stored != nil {
			m.listed = []*Instance{m.stored}
			m.seen[m.stored.StartedMs] = true
		}
		m.history.Confirm(m.now)
	}
	before, m.shown = m.shown, nil
	merged, _ := m.history.Merge(0, m.listed, m.now)
	if len(merged) > 0 {
		m.shown = merged[0]
	}
	return before
}

// disturb changes the state of the server, restarts it, sets its clock back, or cuts the node
// off from the store.
func (m *historyModel) disturb() {
	if m.chance(2 * time.Second) {
		m.server.Membership.Epoch++
		m.nextBeat = m.now
	}
	if m.chance(8 * time.Second) {
		m.server.Membership.Epoch++
		m.server.StartedMs += cmp.Or(m.random.Int64N(20_000)-8_000, 1)
		m.server.Sequence, m.nextBeat = 0, m.now
	}
	if m.chance(15 * time.Second) {
		m.cutUntil = m.now.Add(time.Duration(m.random.Int64N(int64(12 * time.Second))))
	}
}

// write sends the server's entry to the store.
func (m *historyModel) write(trouble bool) {
	m.server.Sequence++
	m.nextBeat = m.now.Add(modelHeartbeat)
	at := m.now
	if trouble && m.random.Float64() < 0.35 {
		at = at.Add(time.Duration(m.random.Int64N(int64(modelMaxDelay))))
	}
	m.pending = append(m.pending, modelWrite{m.server, at})
}

// execute executes the writes that are due. The entry changes only if more than its sequence
// does.
func (m *historyModel) execute() {
	m.pending = slices.DeleteFunc(m.pending, func(w modelWrite) bool {
		if m.now.Before(w.at) {
			return false
		}
		m.writtenAt = m.now
		if m.stored == nil || m.stored.StartedMs != w.entry.StartedMs || m.stored.Membership != w.entry.Membership {
			m.stored = &w.entry
		}
		return true
	})
	if m.stored != nil && m.now.Sub(m.writtenAt) > modelExpiry {
		m.stored = nil
	}
}

// Guards against an entry that replaces a newer one of the server, whatever the order in which
// the store executes its writes, and against one that stays.
func TestMergedListFollowsTheServer(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := newHistoryModel(seed)
			for end := m.now.Add(modelTrouble); m.now.Before(end); {
				seen := len(m.seen)
				before := m.step(true)
				if before == nil || m.shown == nil || len(m.seen) > seen {
					continue
				}
				if m.shown.Membership.Epoch < before.Membership.Epoch {
					t.Fatalf("at %s: %+v replaced %+v", m.now.Format("05.0"), *m.shown, *before)
				}
			}
			calm := m.now
			if calm.Before(m.cutUntil) {
				calm = m.cutUntil
			}
			for end := calm.Add(modelMaxDelay + maxWriteDelay + 2*modelHeartbeat); m.now.Before(end); {
				m.step(false)
			}
			if m.shown == nil || m.shown.Membership != m.server.Membership {
				t.Fatalf("the list shows %+v, the server is %+v", m.shown, m.server)
			}
		})
	}
}
