package claim

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

// quick are bounds that keep tests short.
var quick = Config{
	BatchWindow:  time.Millisecond,
	ClaimTimeout: 300 * time.Millisecond,
	AnswerWait:   50 * time.Millisecond,
	AnswerPoll:   10 * time.Millisecond,
}

func newRegistry(store object.Store) *Registry {
	r := NewRegistry(store, quick, log.NewNopLogger(), metrics.NewRegistry())
	DeferCleanup(r.Close)
	return r
}

var _ = Describe("Registry", func() {
	var (
		ctx   context.Context
		store *object.Memory
		key   Key
		body  string
	)

	BeforeEach(func() {
		ctx = context.Background()
		store = object.NewMemory()
		key = Key{Organisation: "acme", Service: "front-desk", Key: "booking-1"}
		body = "call-1"
	})

	It("gives a repeat through another node the first answer", func() {
		// Guards against a second run after the first answer was stored.
		first, _, err := newRegistry(store).Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		answer := Answer{Status: http.StatusCreated, Body: []byte("charged")}
		Expect(first.Answered(ctx, answer)).To(Succeed())

		claim, replay, err := newRegistry(store).Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).To(BeNil())
		Expect(*replay).To(Equal(answer))
	})

	It("answers may-have-run while the first holder is silent", func() {
		// Guards against taking over the claim of a paused holder.
		_, _, err := newRegistry(store).Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = newRegistry(store).Begin(ctx, key, body)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
	})

	It("lets a repeat run after a release, and after nothing else", func() {
		// Guards against a second run of a call whose outcome is unknown.
		a, b := newRegistry(store), newRegistry(store)
		first, _, err := a.Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Released(ctx)).To(Succeed())
		second, _, err := b.Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Unknown(ctx)).To(Succeed())
		_, _, err = a.Begin(ctx, key, body)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
	})

	It("refuses another call under the same key, and separates organisations", func() {
		// Guards against answering one organisation with another's answer.
		r := newRegistry(store)
		first, _, err := r.Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Answered(ctx, Answer{Status: 200})).To(Succeed())
		_, _, err = r.Begin(ctx, key, "call-2")
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
		key.Organisation = "other"
		claim, _, err := r.Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).NotTo(BeNil())
	})

	It("refuses as not run while the platform is down, and lets a repeat run later", func() {
		// Guards against a call that is sent without a durable claim.
		r := newRegistry(store)
		store.SetFaults(object.Faults{Unavailable: true})
		_, _, err := r.Begin(ctx, key, body)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
		store.SetFaults(object.Faults{})
		claim, _, err := r.Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).NotTo(BeNil())
	})

	It("claims once when the response of the write is lost", func() {
		// Guards against taking the own claim for another attempt's.
		r := newRegistry(store)
		store.SetFaults(object.Faults{LoseWrites: 1})
		claim, _, err := r.Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).NotTo(BeNil())
	})

	It("grants one claim a key to many nodes at once", func() {
		// Guards against two nodes that claim one key in concurrent updates.
		const nodes, keys = 5, 20
		var granted [keys]atomic.Int32
		var wg sync.WaitGroup
		for range nodes {
			r := newRegistry(store)
			for k := range keys {
				wg.Go(func() {
					own := key
					own.Key = fmt.Sprint("key-", k)
					if claim, _, _ := r.Begin(ctx, own, body); claim != nil {
						granted[k].Add(1)
					}
				})
			}
		}
		wg.Wait()
		for k := range keys {
			Expect(granted[k].Load()).To(BeNumerically("<=", 1))
		}
	})

	It("knows the first answer after its cached partition was dropped", func() {
		// Guards against a partition that is taken for empty after its cache
		// expired, which would let a call run again.
		r := newRegistry(store)
		first, _, err := r.Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Answered(ctx, Answer{Status: 200})).To(Succeed())
		_, index := key.locate()
		Eventually(func() bool {
			r.partitions[index].dropIdle()
			return r.partitions[index].current == nil
		}).Should(BeTrue())
		_, answer, err := r.Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).NotTo(BeNil())
	})

	It("spreads keys over all partitions", func() {
		// Guards against a hash that reaches a part of the partitions only, which
		// would fill those early.
		used := make(map[int]bool)
		for i := range 20 * PartitionCount {
			key.Key = fmt.Sprint("key-", i)
			_, index := key.locate()
			used[index] = true
		}
		Expect(used).To(HaveLen(PartitionCount))
	})

	It("states that a call ran when its answer was too large to keep", func() {
		// Guards against a second run of a call with a large answer.
		r := newRegistry(store)
		first, _, err := r.Begin(ctx, key, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Answered(ctx, Answer{Status: 200, Body: make([]byte, MaxAnswerSize+1)})).To(Succeed())
		_, _, err = r.Begin(ctx, key, body)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.Ran))
	})
})
