package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestRattanctl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rattanctl")
}

// fakeNode responds to each request with the next of its responses, and repeats the
// last one. A response is a verdict or a body; an empty body breaks the connection.
type fakeNode struct {
	server    *httptest.Server
	responses []any
	calls     atomic.Int64
}

func newFakeNode(responses ...any) *fakeNode {
	n := &fakeNode{responses: responses}
	n.server = httptest.NewServer(n)
	DeferCleanup(n.server.Close)
	return n
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response := n.responses[min(int(n.calls.Add(1)), len(n.responses))-1]
	switch a := response.(type) {
	case *verdict.Error:
		w.WriteHeader(a.Status())
		printJSON(w, a.Body(""))
	case string:
		if a == "" {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(a))
	}
}

func (n *fakeNode) address() string { return strings.TrimPrefix(n.server.URL, "http://") }

var _ = Describe("apply", func() {
	const accepted = `{"revision":4}`
	var out, errs bytes.Buffer
	apply := func(addresses ...string) int {
		GinkgoT().Setenv("RATTANCTL_KEY", "secret")
		GinkgoT().Setenv("RATTANCTL_ADDRESS", strings.Join(addresses, ","))
		out.Reset()
		errs.Reset()
		file := filepath.Join(GinkgoT().TempDir(), "note.json")
		Expect(os.WriteFile(file, []byte(`{"id":"n","base":0,"withdrawn":{"groups":["a"]}}`), 0o600)).To(Succeed())
		return run(context.Background(), []string{"apply", file}, &out, &errs)
	}
	conflict := verdict.New(verdict.NotRun, verdict.ReasonConflict, "conflict")
	unconfirmed := verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed, "no majority")

	It("tries the next address after a dial failure or a temporary rejection", func() {
		// Guards against a failure although another node could accept the note.
		closed := newFakeNode(accepted)
		closed.server.Close()
		Expect(apply(closed.address(), newFakeNode(unconfirmed).address(), newFakeNode(accepted).address())).To(Equal(exitOK))
		Expect(out.String()).To(Equal("accepted as revision 4\n"))
	})

	It("stops after a permanent rejection", func() {
		// Guards against sending a note to all nodes although it was rejected for good.
		second := newFakeNode(accepted)
		Expect(apply(newFakeNode(conflict).address(), second.address())).To(Equal(exitRefused))
		Expect(second.calls.Load()).To(BeZero())
	})

	It("retries once at another address after an unknown outcome", func() {
		// Guards against reporting an unknown outcome that a retry would resolve.
		first, second := newFakeNode(""), newFakeNode(accepted)
		Expect(apply(first.address(), second.address())).To(Equal(exitOK))
		Expect([]int64{first.calls.Load(), second.calls.Load()}).To(Equal([]int64{1, 1}))
	})

	It("reports an unknown outcome when the retry is rejected", func() {
		// Guards against reporting "refused" although the first attempt may still take
		// effect.
		first, second := newFakeNode(""), newFakeNode(conflict)
		Expect(apply(first.address(), second.address())).To(Equal(exitUnknown))
		Expect([]int64{first.calls.Load(), second.calls.Load()}).To(Equal([]int64{1, 1}))
	})

	It("distinguishes usage errors from rejections", func() {
		// Guards against scripts that mistake a usage error for a rejected note.
		Expect(run(context.Background(), []string{"aply"}, &out, &errs)).To(Equal(exitUsage))
		Expect(apply()).To(Equal(exitUsage))
		Expect(run(context.Background(), []string{"--help"}, &out, &errs)).To(Equal(exitOK))
	})
})
