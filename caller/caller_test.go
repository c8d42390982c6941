package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/caller"
	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

// testNode is an HTTP server that returns entry addresses and handles other requests with
// handle.
type testNode struct {
	server    *httptest.Server
	addresses []string
	requests  atomic.Int32
	handle    http.HandlerFunc
}

func newTestNode(handle http.HandlerFunc) *testNode {
	n := &testNode{handle: handle}
	n.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/addresses" {
			quoted := make([]string, 0, len(n.addresses))
			for _, a := range n.addresses {
				quoted = append(quoted, fmt.Sprintf(`{"address":%q,"failureDomain":"x"}`, a))
			}
			fmt.Fprintf(w, `{"addresses":[%s],"ttlMs":60000}`, strings.Join(quoted, ","))
			return
		}
		n.requests.Add(1)
		n.handle(w, r)
	}))
	DeferCleanup(n.server.Close)
	return n
}

func (n *testNode) address() string { return strings.TrimPrefix(n.server.URL, "http://") }

// refuse responds with an error of the given verdict and reason.
func refuse(v verdict.Verdict, reason verdict.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(verdict.Header, v.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"error":{"verdict":%q,"reason":%q,"message":"refused"}}`, v, reason)
	}
}

func respondDone(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }

var _ = Describe("Client", func() {
	call := caller.Call{Service: "desk", Method: http.MethodPost, Path: "/deposits", Body: []byte("{}")}

	client := func(first *testNode, others ...*testNode) *caller.Client {
		for _, n := range append(others, first) {
			first.addresses = append(first.addresses, n.address())
		}
		first.addresses = append([]string{first.address()}, first.addresses[:len(others)]...)
		c := caller.New(caller.Config{Seeds: []string{first.address()}, RetryPause: time.Millisecond})
		DeferCleanup(c.Close)
		return c
	}

	It("retries at the next address after a refusal with the verdict not-run", func() {
		// Guards against a client that keeps using a node that is shutting down.
		a, b := newTestNode(refuse(verdict.NotRun, verdict.ReasonDraining)), newTestNode(respondDone)
		response, err := client(a, b).Do(context.Background(), call)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("done"))
	})

	It("returns an error for a response over its limit", func() {
		// Guards against the beginning of a large response that looks like all of it.
		a := newTestNode(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 9<<20)) })
		_, err := client(a).Do(context.Background(), call)
		Expect(err).To(MatchError(ContainSubstring("exceeds 8388608 bytes")))
		Expect(verdict.Of(err).Verdict).NotTo(Equal(verdict.NotRun))
	})

	It("does not retry a call without an idempotency key that may have run", func() {
		// Guards against a second charge because the client library retries.
		a, b := newTestNode(refuse(verdict.MayHaveRun, verdict.ReasonBackendFailed)), newTestNode(respondDone)
		_, err := client(a, b).Do(context.Background(), call)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
		Expect(a.requests.Load() + b.requests.Load()).To(Equal(int32(1)))
	})

	It("retries a call with an idempotency key that may have run", func() {
		// Guards against a client that does not fetch the response of a call whose
		// connection broke, although its idempotency key permits a retry.
		a, b := newTestNode(func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }), newTestNode(respondDone)
		keyed := call
		keyed.IdempotencyKey = "k1"
		response, err := client(a, b).Do(context.Background(), keyed)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("done"))
	})

	It("keeps the verdict may-have-run when a later attempt is not run", func() {
		// Guards against the verdict not-run for a call whose first attempt may have run.
		a := newTestNode(refuse(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown))
		b := newTestNode(refuse(verdict.NotRun, verdict.ReasonPlatform))
		keyed := call
		keyed.IdempotencyKey = "k1"
		_, err := client(a, b).Do(context.Background(), keyed)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
	})

	It("reports a stream without its end marker as incomplete", func() {
		// Guards against treating a truncated stream as complete.
		a := newTestNode(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "data: {\"choices\":[{\"text\":\" half\"}]}\n\n")
		})
		text, err := client(a).Complete(context.Background(), caller.Completion{Model: "m", Prompt: "p", MaxTokens: 2, Stream: true}, nil)
		Expect(text).To(Equal(" half"))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonIncompleteAnswer))
	})
})
