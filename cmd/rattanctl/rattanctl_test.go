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

// node answers every request with the next of its answers, and the last one
// from then on. An empty answer breaks the connection.
type node struct {
	server  *httptest.Server
	answers []any
	calls   atomic.Int64
}

func newNode(answers ...any) *node {
	n := &node{answers: answers}
	n.server = httptest.NewServer(n)
	DeferCleanup(n.server.Close)
	return n
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := n.answers[min(int(n.calls.Add(1)), len(n.answers))-1]
	switch a := answer.(type) {
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

func (n *node) address() string { return strings.TrimPrefix(n.server.URL, "http://") }

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

	It("goes to the next address after a dial failure or a temporary refusal", func() {
		// Guards against giving up while another node could accept the note.
		closed := newNode(accepted)
		closed.server.Close()
		Expect(apply(closed.address(), newNode(unconfirmed).address(), newNode(accepted).address())).To(Equal(exitOK))
		Expect(out.String()).To(Equal("accepted as revision 4\n"))
	})

	It("stops at a refusal", func() {
		// Guards against asking node after node for a note that is refused.
		second := newNode(accepted)
		Expect(apply(newNode(conflict).address(), second.address())).To(Equal(exitRefused))
		Expect(second.calls.Load()).To(BeZero())
	})

	It("repeats once through another address after an unknown outcome", func() {
		// Guards against an unknown outcome that a repeat would settle.
		first, second := newNode(""), newNode(accepted)
		Expect(apply(first.address(), second.address())).To(Equal(exitOK))
		Expect([]int64{first.calls.Load(), second.calls.Load()}).To(Equal([]int64{1, 1}))
	})

	It("reports an unknown outcome when the repeat is refused", func() {
		// Guards against "refused" while the first attempt may still take effect.
		first, second := newNode(""), newNode(conflict)
		Expect(apply(first.address(), second.address())).To(Equal(exitUnknown))
		Expect([]int64{first.calls.Load(), second.calls.Load()}).To(Equal([]int64{1, 1}))
	})

	It("tells usage errors from refusals", func() {
		// Guards against scripts that take a typing error for a refusal.
		Expect(run(context.Background(), []string{"aply"}, &out, &errs)).To(Equal(exitUsage))
		Expect(apply()).To(Equal(exitUsage))
		Expect(run(context.Background(), []string{"--help"}, &out, &errs)).To(Equal(exitOK))
	})
})
