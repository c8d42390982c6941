package object_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/internal/standin"
	"github.com/rattanlanding/rattanlanding/object"
)

func TestObject(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "object")
}

// generousTimeout is far longer than any step takes, so that the tests pass on slow
// machines.
const generousTimeout = 20 * time.Second

// testStore is a store under test whose faults can be set.
type testStore struct {
	object.Store
	setFaults func(standin.PlatformFaults)
}

func newMemoryStore() testStore {
	m := object.NewMemory()
	return testStore{m, func(faults standin.PlatformFaults) {
		m.SetFaults(object.Faults{
			Unavailable: faults.Down, Delay: time.Duration(faults.DelayMs) * time.Millisecond,
			LoseWrites: faults.LoseWrites, DropWrites: faults.DropWrites,
			LoseProbability: faults.LoseProbability, Seed: faults.Seed,
		})
	}}
}

func newClientStore() testStore {
	p := standin.NewPlatform(standin.PlatformConfig{})
	server := httptest.NewServer(p.Handler())
	c := object.NewClient(object.ClientConfig{Addresses: []string{address(server)}, Timeout: generousTimeout})
	DeferCleanup(func() { c.Close(); p.Close(); server.Close() })
	return testStore{c, func(f standin.PlatformFaults) {
		body, err := json.Marshal(f)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.Post(server.URL+"/control/faults", "application/json", bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNoContent))
	}}
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

var key = object.Key{Kind: "config", Name: "current"}

var _ = DescribeTableSubtree("Store", func(create func() testStore) {
	var s testStore
	var ctx context.Context
	BeforeEach(func() {
		s = create()
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 2*generousTimeout)
		DeferCleanup(cancel)
	})
	write := func(expected object.Version, value string) object.Version {
		GinkgoHelper()
		v, err := s.Update(ctx, key, expected, []byte(value))
		Expect(err).NotTo(HaveOccurred())
		return v
	}
	read := func() string {
		GinkgoHelper()
		o, err := s.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		return string(o.Value)
	}

	It("writes only on the version that was read", func() {
		// Guards against an update that is lost because a paused writer overwrites it.
		_, err := s.Get(ctx, key)
		Expect(err).To(MatchError(object.ErrNotFound))
		first := write(0, "a")
		second := write(first, "b")
		Expect(second).To(BeNumerically(">", first))
		for _, stale := range []object.Version{0, first} {
			_, err = s.Update(ctx, key, stale, []byte("c"))
			Expect(err).To(MatchError(object.ErrConflict))
		}
		Expect(s.Delete(ctx, key, first)).To(MatchError(object.ErrConflict))
		Expect(read()).To(Equal("b"))
		Expect(s.Delete(ctx, key, second)).To(Succeed())
		Expect(write(0, "again")).To(BeNumerically(">", second))
	})

	It("accepts a value of the largest size and no larger one", func() {
		// Guards against a value that is truncated or whose write is wrongly reported as
		// ambiguous.
		_, err := s.Update(ctx, key, 0, make([]byte, object.MaxValueSize+1))
		Expect(err).To(MatchError(object.ErrTooLarge))
		write(0, strings.Repeat("x", object.MaxValueSize))
		Expect(read()).To(HaveLen(object.MaxValueSize))
	})

	It("reports a write whose response is lost as ambiguous, never as a conflict", func() {
		// Guards against a write that is sent twice, or wrongly reported as refused, when
		// its response is lost.
		v := write(0, "a")
		s.setFaults(standin.PlatformFaults{LoseWrites: 1, DropWrites: 1})
		_, err := s.Update(ctx, key, v, []byte("dropped"))
		Expect(err).To(MatchError(object.ErrAmbiguous))
		Expect(read()).To(Equal("a"))
		_, err = s.Update(ctx, key, v, []byte("b"))
		Expect(err).To(MatchError(object.ErrAmbiguous))
		Expect(err).NotTo(MatchError(object.ErrConflict))
		Expect(read()).To(Equal("b"))
	})

	It("reports an outage as unavailable", func() {
		// Guards against reporting a refused write as ambiguous, and the reverse.
		s.setFaults(standin.PlatformFaults{Down: true})
		_, err := s.Get(ctx, key)
		Expect(err).To(MatchError(object.ErrUnavailable))
		_, err = s.Update(ctx, key, 0, []byte("a"))
		Expect(err).To(MatchError(object.ErrUnavailable))
		s.setFaults(standin.PlatformFaults{})
		_, err = s.Get(ctx, key)
		Expect(err).To(MatchError(object.ErrNotFound))
	})

	It("ends a watch on a write, a deletion and an outage", func() {
		// Guards against a watch that misses a change or does not return in an outage.
		_, ok, err := s.Watch(ctx, key, 0, time.Millisecond)
		Expect(ok, err).To(BeFalse())
		v := write(0, "a")
		_, ok, err = s.GetIfNewer(ctx, key, v)
		Expect(ok, err).To(BeFalse())
		o, ok, err := s.GetIfNewer(ctx, key, 0)
		Expect(ok, err).To(BeTrue())
		Expect(o.Value).To(Equal([]byte("a")))

		woken := make(chan object.Object, 1)
		go func() {
			o, _, _ := s.Watch(ctx, key, v, generousTimeout)
			woken <- o
		}()
		Consistently(woken, "30ms").ShouldNot(Receive())
		Expect(s.Delete(ctx, key, v)).To(Succeed())
		Eventually(woken, generousTimeout).Should(Receive(HaveField("Version", object.Version(0))))

		failed := make(chan error, 1)
		go func() {
			_, _, err := s.Watch(ctx, key, 0, generousTimeout)
			failed <- err
		}()
		Consistently(failed, "30ms").ShouldNot(Receive())
		s.setFaults(standin.PlatformFaults{Down: true})
		Eventually(failed, generousTimeout).Should(Receive(MatchError(object.ErrUnavailable)))
	})

	It("lists the objects of a kind and watches them", func() {
		// Guards against a planner that misses a placement or a deletion.
		a, b := object.Key{Kind: "placement", Name: "a"}, object.Key{Kind: "placement", Name: "b"}
		empty, err := s.WatchKind(ctx, "placement", 0, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(empty).To(Equal(object.Listing{}))
		version, err := s.Update(ctx, b, 0, []byte("2"))
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Update(ctx, a, 0, []byte("1"))
		Expect(err).NotTo(HaveOccurred())
		write(0, "other kind")
		both, err := s.WatchKind(ctx, "placement", 0, generousTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(both.Objects).To(HaveExactElements(HaveField("Key", a), HaveField("Key", b)))
		same, err := s.WatchKind(ctx, "placement", both.Cursor, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(same).To(Equal(object.Listing{Cursor: both.Cursor}))
		Expect(s.Delete(ctx, b, version)).To(Succeed())
		one, err := s.WatchKind(ctx, "placement", both.Cursor, generousTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(one.Objects).To(HaveExactElements(HaveField("Key", a)))
		Expect(s.List(ctx, "placement")).To(Equal(one.Objects))
	})

	It("applies a mutation exactly once under conflicts and lost responses", func() {
		// Guards against a change that is lost or applied twice when responses are lost
		// while other writers change the object.
		s.setFaults(standin.PlatformFaults{LoseProbability: 0.3, DropWrites: 3, Seed: 7})
		const writers, each = 4, 8
		done := make(chan error, writers)
		for w := range writers {
			go func() {
				var err error
				for i := 0; i < each && err == nil; i++ {
					mark := fmt.Sprintf("<%d.%d>", w, i)
					_, err = object.Mutate(ctx, s, key,
						func(o object.Object) ([]byte, error) { return append(o.Value, mark...), nil },
						func(value []byte) bool { return bytes.Contains(value, []byte(mark)) })
				}
				done <- err
			}()
		}
		for range writers {
			Eventually(done, generousTimeout).Should(Receive(BeNil()))
		}
		for w := range writers {
			for i := range each {
				Expect(strings.Count(read(), fmt.Sprintf("<%d.%d>", w, i))).To(Equal(1))
			}
		}
	})

	It("reports a mutation as ambiguous while a dropped write may still take effect", func() {
		// Guards against reporting a write as not applied that may still take effect.
		s.setFaults(standin.PlatformFaults{DropWrites: 1})
		refusal := errors.New("refused")
		tries := 0
		_, err := object.Mutate(ctx, s, key, func(object.Object) ([]byte, error) {
			if tries++; tries > 1 {
				return nil, refusal
			}
			return []byte("a"), nil
		}, func([]byte) bool { return false })
		Expect(err).To(MatchError(object.ErrAmbiguous))
		Expect(err).To(MatchError(ContainSubstring("refused")))
	})
},
	Entry("Memory", newMemoryStore),
	Entry("Client against the stand-in platform", newClientStore),
)

var _ = Describe("Client", func() {
	update := func(c *object.Client) error {
		_, err := c.Update(context.Background(), key, 0, []byte("a"))
		return err
	}
	serve := func(handler http.HandlerFunc) string {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		return address(server)
	}
	closedAddress := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		return l.Addr().String()
	}

	It("maps the status of a write to the error that it proves", func() {
		// Guards against reporting a write as refused that may have taken effect.
		for status, expected := range map[int]error{
			http.StatusConflict: object.ErrConflict, http.StatusPreconditionFailed: object.ErrConflict,
			http.StatusRequestEntityTooLarge: object.ErrTooLarge, http.StatusServiceUnavailable: object.ErrUnavailable,
			http.StatusInternalServerError: object.ErrAmbiguous, http.StatusBadGateway: object.ErrAmbiguous,
			http.StatusTemporaryRedirect: object.ErrAmbiguous, http.StatusOK: object.ErrAmbiguous,
		} {
			at := serve(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/objects/elsewhere/x")
				w.WriteHeader(status)
			})
			Expect(update(object.NewClient(object.ClientConfig{Addresses: []string{at}}))).
				To(MatchError(expected), "status %d", status)
		}
	})

	It("does not resend a write when its connection breaks", func() {
		// Guards against net/http resending a write after a kept-alive connection broke,
		// which would conflict with the effect of the first one.
		var writes atomic.Int32
		at := serve(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			if r.Method == http.MethodPut {
				writes.Add(1)
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusNotFound)
		})
		other := serve(func(http.ResponseWriter, *http.Request) { writes.Add(1) })
		c := object.NewClient(object.ClientConfig{Addresses: []string{at, other}, Timeout: generousTimeout})
		_, err := c.Get(context.Background(), key)
		Expect(err).To(MatchError(object.ErrNotFound))
		Expect(update(c)).To(MatchError(object.ErrAmbiguous))
		Expect(writes.Load()).To(Equal(int32(1)))
	})

	It("uses another address if one refuses or cannot be reached", func() {
		// Guards against an outage because one of the platform's addresses fails.
		down := serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		p := standin.NewPlatform(standin.PlatformConfig{})
		at := serve(p.Handler().ServeHTTP)
		registry := metrics.NewRegistry()
		c := object.NewClient(object.ClientConfig{
			Addresses: []string{closedAddress(), down, at}, Timeout: generousTimeout, Registry: registry,
		})
		Expect(update(c)).To(Succeed())
		Expect(metrics.GetOrRegisterCounter("platform.calls.update", registry).Count()).To(Equal(int64(1)))
		gone := object.NewClient(object.ClientConfig{Addresses: []string{closedAddress()}})
		Expect(update(gone)).To(MatchError(object.ErrUnavailable))
	})

	It("limits the time of a request and reports a write without a response as ambiguous", func() {
		// Guards against a client that hangs because the platform hangs.
		p := standin.NewPlatform(standin.PlatformConfig{})
		at := serve(p.Handler().ServeHTTP)
		DeferCleanup(p.Close)
		p.SetFaults(standin.PlatformFaults{Hang: true})
		c := object.NewClient(object.ClientConfig{Addresses: []string{at}, Timeout: 500 * time.Millisecond})
		_, err := c.Get(context.Background(), key)
		Expect(err).To(MatchError(object.ErrUnavailable))
		Expect(update(c)).To(MatchError(object.ErrAmbiguous))

		By("letting a delayed write take effect after its request timed out")
		p.SetFaults(standin.PlatformFaults{DelayMs: 2000})
		Expect(update(c)).To(MatchError(object.ErrAmbiguous))
		Eventually(func() error {
			_, err := p.Objects.Get(context.Background(), key)
			return err
		}, generousTimeout).Should(Succeed())
	})
})
