package lease_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/lease"
	"github.com/rattanlanding/rattanlanding/object"
)

// restore replaces the record with an older one in a new era of the store.
func (s *fakeStore) restore(g *WithT, older object.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, err := object.NewVersion(s.current.Version.Era()+1, older.Version.Revision())
	g.Expect(err).NotTo(HaveOccurred())
	s.current = older
	s.current.Version = version
}

func (s *fakeStore) copy() object.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Guards against two holders after the store was restored from an older copy, which shows
// an earlier holder or none, and against a term that is given out twice.
func TestRestoredRecordGivesNoSecondHolderAndNoTermAgain(t *testing.T) {
	for name, exclusive := range map[string]bool{"": false, "exclusive process": true} {
		for _, withRecord := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &fakeStore{}
				var copied object.Object
				first, second := startNodeWith(s, "a", lease.Config{ExclusiveProcess: exclusive}), startNodeWith(s, "b", lease.Config{ExclusiveProcess: exclusive})
				publishStates(fleet.NodeServing, first, second)
				time.Sleep(time.Second)
				if _, holds := second.heldShard(); holds {
					first, second = second, first
				}
				if withRecord {
					copied = s.copy()
				}
				first.store.setFailing(true)
				time.Sleep(lease.DefaultDuration + 2*lease.DefaultRenewInterval + 2*time.Second)
				held, ok := second.heldShard()
				g.Expect(ok).To(BeTrue())
				first.store.setFailing(false)
				time.Sleep(time.Second)

				s.restore(g, copied)
				for range 500 {
					_, a := first.heldShard()
					_, b := second.heldShard()
					g.Expect(a && b).To(BeFalse(), name)
					time.Sleep(20 * time.Millisecond)
				}
				after, ok := first.heldShard()
				if !ok {
					after, ok = second.heldShard()
				}
				g.Expect(ok).To(BeTrue(), "a holder ten seconds after the restore")
				g.Expect(after.Epoch).To(BeNumerically(">", held.Epoch))
				stopNodes(first, second)
			})
		}
	}
}

// Guards against a restarted node that takes its earlier lease over at once, which a
// restored store shows, although another one has held it since.
func TestRestoredLeaseOfARestartedNodeIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		version, err := object.NewVersion(3, 7)
		g.Expect(err).NotTo(HaveOccurred())
		s := &fakeStore{current: object.Object{Key: object.Key{Kind: lease.Kind, Name: shard}, Version: version,
			Value: []byte(`{"holder":"a","boot":"a-0","epoch":4,"renewal":2,"durationMs":4000,"era":2}`)}}
		n := startNodeWith(s, "a", lease.Config{ExclusiveProcess: true})
		n.publishMembers(map[string]fleet.NodeState{"a": fleet.NodeServing})
		time.Sleep(lease.DefaultDuration - time.Second)
		_, ok := n.heldShard()
		g.Expect(ok).To(BeFalse())
		time.Sleep(2 * time.Second)
		held, ok := n.heldShard()
		g.Expect(ok).To(BeTrue())
		g.Expect(held.Epoch).To(BeNumerically(">", 3<<16))
		stopNodes(n)
	})
}

// Guards against a lease that is created just after a restore in the belief that there was
// none before, under a term that may have been given out.
func TestLeaseCreatedAcrossARestoreIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		first, err := object.NewVersion(1, 0)
		g.Expect(err).NotTo(HaveOccurred())
		s := &fakeStore{current: object.Object{Version: first}}
		s.beforeUpdate = func() {
			version, err := object.NewVersion(2, 0)
			g.Expect(err).NotTo(HaveOccurred())
			s.current.Version = version
		}
		n := startNode(s, "a")
		n.publishMembers(map[string]fleet.NodeState{"a": fleet.NodeServing})
		time.Sleep(time.Second)
		_, ok := n.heldShard()
		g.Expect(ok).To(BeFalse())
		time.Sleep(lease.DefaultDuration + time.Second)
		held, ok := n.heldShard()
		g.Expect(ok).To(BeTrue())
		g.Expect(held.Epoch).To(BeNumerically(">", 2<<16))
		stopNodes(n)
	})
}

// Guards against nodes that never acquire a lease again because another writer left an odd
// record, against a lease that they take from a holder that may still act, and against a
// term that wraps around.
func TestOddRecordOfAnotherWriterIsReplacedAfterTheDuration(t *testing.T) {
	for _, record := range []string{
		`{"holder":"x","boot":"1","epoch":18446744073709551615,"durationMs":4000}`,
		`{"holder":"x","boot":"1","epoch":2,"durationMs":9000000000000}`,
		`{"holder":"x","boot":"1","epoch":2,"durationMs":-9223372036854775808}`,
		`{"holder":"` + strings.Repeat("x", 1<<20) + `","epoch":2,"durationMs":4000}`,
		`{"released":true}`, `{"released":true,"epoch":1e999}`, `null`, `[]`, ``,
		strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := &fakeStore{}
			holder, other := startPair(g, s)
			before, _ := holder.heldShard()
			s.mu.Lock()
			s.current.Version, s.current.Value = s.current.Version+1, []byte(record)
			s.mu.Unlock()
			writtenAt := time.Now()
			for {
				_, a := holder.heldShard()
				_, b := other.heldShard()
				g.Expect(a && b).To(BeFalse(), "holders at the same time")
				if held, ok := other.heldShard(); !ok {
					held, ok = holder.heldShard()
					if ok && held.Epoch > before.Epoch {
						break
					}
				} else if held.Epoch > before.Epoch {
					break
				}
				g.Expect(time.Since(writtenAt)).To(BeNumerically("<", 20*time.Second), "time without a holder")
				time.Sleep(10 * time.Millisecond)
			}
			g.Expect(time.Since(writtenAt)).To(BeNumerically(">=", lease.DefaultDuration-lease.DefaultRenewInterval))
			g.Expect(s.record().Epoch).To(Equal(before.Epoch + 1))
			stopNodes(holder, other)
		})
	}
}
