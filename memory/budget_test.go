package memory_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/memory"
)

const (
	block = 16 << 10
	// bodyBlocks is the number of blocks of bodies in the budget of these tests.
	bodyBlocks = 70
	patience   = 700 * time.Millisecond
)

func newBudget() *memory.Budget {
	b := memory.NewBudget(memory.Config{Bytes: bodyBlocks * block / 7 * 16})
	if b.Limit(memory.Bodies) != bodyBlocks*block {
		panic("the parts of the memory have changed")
	}
	return b
}

var (
	ann = memory.Owner{Organisation: "ann", Address: "10.0.0.1"}
	bob = memory.Owner{Organisation: "bob", Address: "10.0.0.2"}
)

// holder is a hold that counts its revocations.
type holder struct {
	*memory.Hold
	revoked chan struct{}
}

func newHolder(b *memory.Budget, owner memory.Owner) holder {
	h := holder{revoked: make(chan struct{}, 1)}
	h.Hold = b.NewHold(memory.Bodies, owner, func() { h.revoked <- struct{}{} })
	return h
}

// Guards against a crowd that keeps its memory for good: bodies that stop before their end.
func TestBodiesThatDontAdvanceGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBudget()
		first, second := newHolder(b, ann), newHolder(b, ann)
		g.Expect(first.Acquire(bodyBlocks/2*block, 0)).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(second.Acquire(bodyBlocks/2*block, 0)).To(Succeed())
		go func() {
			<-first.revoked
			first.Release()
		}()
		third := newHolder(b, ann)
		g.Expect(third.Acquire(block, patience)).To(Succeed())
		g.Expect(first.Revoked()).To(BeTrue())
		g.Expect(second.Revoked()).To(BeFalse(), "it has advanced since")
		g.Expect(first.Acquire(block, patience)).To(MatchError(memory.ErrRevoked))
	})
}

// Guards against bodies that are given up although they advance.
func TestBodiesThatAdvanceAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBudget()
		first, second := newHolder(b, ann), newHolder(b, ann)
		g.Expect(first.Acquire(bodyBlocks*block, 0)).To(Succeed())
		go func() {
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				first.Advance()
			}
		}()
		started := time.Now()
		g.Expect(second.Acquire(block, patience)).To(MatchError(memory.ErrNoMemory))
		g.Expect(time.Since(started)).To(Equal(patience))
		g.Expect(first.Revoked()).To(BeFalse())
		time.Sleep(3 * time.Second)
		g.Expect(first.Revoked()).To(BeFalse(), "it doesn't advance, but nobody waits")
		g.Expect(first.SetRevocable(false)).To(BeTrue())
		g.Expect(second.Acquire(block, patience)).To(MatchError(memory.ErrNoMemory))
		g.Expect(first.Revoked()).To(BeFalse(), "a complete body is kept")
	})
}

// Guards against an organisation, or an address, that keeps the others from any memory.
func TestNobodyKeepsMoreThanAShareWhileOthersWait(t *testing.T) {
	for name, owners := range map[string][2]memory.Owner{
		"organisations": {{Organisation: "ann", Address: "10.0.0.1"}, {Organisation: "bob", Address: "10.0.0.1"}},
		"addresses":     {{Organisation: "ann", Address: "10.0.0.1"}, {Organisation: "ann", Address: "10.0.0.2"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := newBudget()
				var all []holder
				for range 10 {
					h := newHolder(b, owners[0])
					g.Expect(h.Acquire(bodyBlocks/10*block, 0)).To(Succeed())
					all = append(all, h)
				}
				done := make(chan struct{})
				defer close(done)
				go func() {
					for {
						for _, h := range all {
							select {
							case <-h.revoked:
								h.Release()
							default:
								h.Advance()
							}
						}
						select {
						case <-done:
							return
						case <-time.After(10 * time.Millisecond):
						}
					}
				}()
				other := newHolder(b, owners[1])
				for range bodyBlocks / 2 {
					g.Expect(other.Acquire(block, patience)).To(Succeed())
				}
				g.Expect(other.Acquire(block, patience)).To(MatchError(memory.ErrNoMemory), "it has its share")
				g.Expect(b.Used(memory.Bodies)).To(BeNumerically("<=", bodyBlocks*block))
				other.Release()
				for _, h := range all {
					h.Release()
				}
			})
		})
	}
}

// Guards against bodies that wait for each other: one that is nearly complete comes first.
func TestTheFullestBodyComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := memory.NewBudget(memory.Config{Bytes: 256 << 20})
		all := b.Limit(memory.Bodies)
		small, large := newHolder(b, ann), newHolder(b, ann)
		rest := newHolder(b, ann)
		g.Expect(small.Acquire(block, 0)).To(Succeed())
		g.Expect(large.Acquire(10*block, 0)).To(Succeed())
		g.Expect(rest.Acquire(all-11*block, 0)).To(Succeed())
		results := make(chan string, 2)
		go func() {
			if small.Acquire(block, patience) == nil {
				results <- "small"
			}
		}()
		synctest.Wait()
		go func() {
			if large.Acquire(block, patience) == nil {
				results <- "large"
			}
		}()
		synctest.Wait()
		rest.Shrink(all - 12*block)
		g.Expect(<-results).To(Equal("large"))
		rest.Release()
		g.Expect(<-results).To(Equal("small"))
	})
}

// Guards against bodies that are refused after most of their bytes were received, because too
// many have begun.
func TestBodiesThatCannotAllEndDontBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBudget()
		begin := func(expected int64) (holder, error) {
			h := newHolder(b, ann)
			h.Expect(expected)
			return h, h.Acquire(block, 0)
		}
		first, err := begin(10 * bodyBlocks * block)
		g.Expect(err).NotTo(HaveOccurred(), "one body may always begin")
		first.Release()
		for range 4 {
			_, err := begin(bodyBlocks / 2 * block)
			g.Expect(err).NotTo(HaveOccurred())
		}
		last, err := begin(bodyBlocks / 2 * block)
		g.Expect(err).To(MatchError(memory.ErrNoMemory))
		last.Release()
		_, err = begin(block / 2)
		g.Expect(err).NotTo(HaveOccurred(), "a small one may begin")
		_, err = begin(0)
		g.Expect(err).NotTo(HaveOccurred(), "the length isn't known")
	})
}

// Guards against many callers whose bytes wait in the kernel, which counts as memory too.
func TestFewWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBudget()
		full := newHolder(b, ann)
		g.Expect(full.Acquire(bodyBlocks*block, 0)).To(Succeed())
		full.SetRevocable(false)
		go func() { _ = newHolder(b, ann).Acquire(block, patience) }()
		synctest.Wait()
		started := time.Now()
		g.Expect(newHolder(b, ann).Acquire(block, patience)).To(MatchError(memory.ErrNoMemory))
		g.Expect(time.Since(started)).To(BeZero(), "more than one wait in a budget of this size")
		time.Sleep(time.Second)
	})
}

// Guards against kinds that together take more than the process has.
func TestConnectionsAndRequestsLeaveLessToBodies(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	for range b.MaxConnections() {
		b.BeginConnection()
	}
	requests := 0
	for b.BeginRequest() {
		requests++
	}
	g.Expect(requests).To(Equal(int(b.Limit(memory.Requests) / (32 << 10))))
	g.Expect(newHolder(b, ann).Acquire(block, 0)).To(MatchError(memory.ErrNoMemory))
	for range requests {
		b.EndRequest()
	}
	g.Expect(newHolder(b, ann).Acquire(block, 0)).To(Succeed())
}

// Guards against bytes that are counted for good, or given to two.
func TestNothingIsLostInACrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBudget()
		var crowd sync.WaitGroup
		for i := range 100 {
			crowd.Go(func() {
				random := rand.New(rand.NewPCG(uint64(i), 1))
				for range 50 {
					owner := []memory.Owner{ann, bob}[random.IntN(2)]
					h := newHolder(b, owner)
					for range random.IntN(10) {
						if err := h.Acquire(block, time.Duration(random.IntN(300))*time.Millisecond); err != nil {
							break
						}
						time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
					}
					h.Release()
				}
			})
		}
		done := make(chan struct{})
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
					if used := b.Used(memory.Bodies); used > bodyBlocks*block || used < 0 {
						t.Errorf("%d bytes in use", used)
					}
				}
			}
		}()
		crowd.Wait()
		close(done)
		g.Expect(b.Used(memory.Bodies)).To(BeZero())
		registry := metrics.NewRegistry()
		b.UpdateGauges(registry)
		g.Expect(registry.Get("memory.waiting").(metrics.Gauge).Value()).To(BeZero())
		whole := newHolder(b, ann)
		g.Expect(whole.Acquire(bodyBlocks*block, 0)).To(Succeed())
	})
}
