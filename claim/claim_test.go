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

// shortTimeouts keeps the tests short.
var shortTimeouts = Config{
	BatchWindow:  time.Millisecond,
	ClaimTimeout: 300 * time.Millisecond,
	ResponseWait: 50 * time.Millisecond,
	ResponsePoll: 10 * time.Millisecond,
}

func newRegistry(store object.Store) *Registry {
	r := NewRegistry(store, shortTimeouts, log.NewNopLogger(), metrics.NewRegistry())
	DeferCleanup(r.Close)
	return r
}

var _ = Describe("Registry", func() {
	var (
		ctx   context.Context
		store *object.Memory
		key   Key
		hash  string
	)

	BeforeEach(func() {
		ctx = context.Background()
		store = object.NewMemory()
		key = Key{Organisation: "acme", Service: "front-desk", Key: "booking-1"}
		hash = "call-1"
	})

	It("gives a repeat through another node the response of the first call", func() {
		// Guards against a second run after the response of the first one was stored.
		first, _, err := newRegistry(store).Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		response := Response{Status: http.StatusCreated, Body: []byte("charged")}
		Expect(first.Complete(ctx, response)).To(Succeed())

		claim, replay, err := newRegistry(store).Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).To(BeNil())
		Expect(*replay).To(Equal(response))
	})

	It("gives a repeat the verdict may-have-run while the first call has no outcome", func() {
		// Guards against taking over the claim of a process that is paused and may still
		// send the call.
		_, _, err := newRegistry(store).Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = newRegistry(store).Begin(ctx, key, hash)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
	})

	It("lets a repeat run after a release, but not after an unknown outcome", func() {
		// Guards against a second run of a call whose outcome is unknown.
		a, b := newRegistry(store), newRegistry(store)
		first, _, err := a.Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Release(ctx)).To(Succeed())
		second, _, err := b.Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.MarkUnknown(ctx)).To(Succeed())
		_, _, err = a.Begin(ctx, key, hash)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
	})

	It("refuses another call with the same key, but not that of another organisation", func() {
		// Guards against giving one organisation the stored response of another, and
		// against a response of a different call.
		r := newRegistry(store)
		first, _, err := r.Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Complete(ctx, Response{Status: 200})).To(Succeed())
		_, _, err = r.Begin(ctx, key, "call-2")
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
		key.Organisation = "other"
		claim, _, err := r.Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).NotTo(BeNil())
	})

	It("refuses with the verdict not-run while the platform is down, and lets a repeat run later", func() {
		// Guards against sending a call without a durable claim.
		r := newRegistry(store)
		store.SetFaults(object.Faults{Unavailable: true})
		_, _, err := r.Begin(ctx, key, hash)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
		store.SetFaults(object.Faults{})
		claim, _, err := r.Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).NotTo(BeNil())
	})

	It("makes the claim although the response of its write is lost", func() {
		// Guards against mistaking the registry's own claim for that of another attempt,
		// when its write took effect but the response was lost.
		r := newRegistry(store)
		store.SetFaults(object.Faults{LoseWrites: 1})
		claim, _, err := r.Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).NotTo(BeNil())
	})

	It("grants at most one claim per key when many nodes claim it at the same time", func() {
		// Guards against two nodes that claim the same key by concurrent updates.
		const nodes, keys = 5, 20
		var granted [keys]atomic.Int32
		var wg sync.WaitGroup
		for range nodes {
			r := newRegistry(store)
			for k := range keys {
				wg.Go(func() {
					own := key
					own.Key = fmt.Sprint("key-", k)
					if claim, _, _ := r.Begin(ctx, own, hash); claim != nil {
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

	It("returns the stored response after the cached partition was dropped", func() {
		// Guards against treating a partition as empty after it was dropped from the
		// cache, which would let a call run again.
		r := newRegistry(store)
		first, _, err := r.Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Complete(ctx, Response{Status: 200})).To(Succeed())
		_, index := key.locate()
		Eventually(func() bool {
			r.partitions[index].dropCache()
			return r.partitions[index].current == nil
		}).Should(BeTrue())
		_, response, err := r.Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		Expect(response).NotTo(BeNil())
	})

	It("spreads keys over all partitions", func() {
		// Guards against a hash that uses only some of the partitions, which would then
		// be full too early.
		used := make(map[int]bool)
		for i := range 20 * PartitionCount {
			key.Key = fmt.Sprint("key-", i)
			_, index := key.locate()
			used[index] = true
		}
		Expect(used).To(HaveLen(PartitionCount))
	})

	It("gives a repeat the verdict ran if the response was too large to store", func() {
		// Guards against a second run of a call whose response is too large to store.
		r := newRegistry(store)
		first, _, err := r.Begin(ctx, key, hash)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Complete(ctx, Response{Status: 200, Body: make([]byte, MaxResponseBodySize+1)})).To(Succeed())
		_, _, err = r.Begin(ctx, key, hash)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.Ran))
	})
})
