package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/operator"
	"github.com/rattanlanding/rattanlanding/release"
	"github.com/rattanlanding/rattanlanding/settings"
	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const note = `{"id":"n","base":0,"withdrawn":{"groups":["a"]}}`

// fakeNotes records the operator of an applied note and returns err.
type fakeNotes struct {
	operator string
	err      error
}

func (n *fakeNotes) Apply(_ context.Context, _ release.Note, operator string) (release.Result, error) {
	n.operator = operator
	return release.Result{Revision: 3}, n.err
}

func (n *fakeNotes) Preview(context.Context, release.Note) (release.Preview, error) {
	return release.Preview{Revision: 2}, n.err
}

var _ = Describe("Handler", func() {
	var (
		fake     *fakeNotes
		board    *blackboard.Board
		registry metrics.Registry
		handler  http.Handler
		now      = time.Unix(1000, 0)
	)
	BeforeEach(func() {
		sum := sha256.Sum256([]byte("secret"))
		fake, board, registry = &fakeNotes{}, &blackboard.Board{}, metrics.NewRegistry()
		var err error
		handler, err = operator.NewHandler(operator.Config{
			Node: "n1", Board: board, Notes: fake, Registry: registry, Now: func() time.Time { return now },
			Keys:    []settings.OperatorKey{{Name: "ops", KeySHA256: hex.EncodeToString(sum[:])}},
			Dumpers: map[string]func() any{"budget": func() any { return 7 }},
		})
		Expect(err).NotTo(HaveOccurred())
	})
	call := func(method, path, key, body, accept string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+key)
		r.Header.Set("Accept", accept)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w
	}

	DescribeTable("refuses requests without a valid key", // Guards against a path that anyone can read or write.
		func(method, path string) {
			for _, key := range []string{"", "wrong"} {
				w := call(method, path, key, note, "")
				Expect(w.Code).To(Equal(http.StatusUnauthorized))
				Expect(w.Header().Get(verdict.Header)).To(Equal("not-run"))
			}
			Expect(fake.operator).To(BeEmpty())
		},
		Entry(nil, "POST", "/v1/notes"), Entry(nil, "POST", "/v1/notes/diff"), Entry(nil, "GET", "/v1/status"),
		Entry(nil, "GET", "/v1/history"), Entry(nil, "GET", "/debug/state"), Entry(nil, "GET", "/metrics"),
		Entry(nil, "GET", "/other"), Entry(nil, "DELETE", "/v1/notes"), Entry(nil, "POST", "/v1/notes/"),
	)

	It("applies a note in the operator's name and returns the applier's errors", func() {
		// Guards against an error of the applier whose verdict doesn't reach the
		// operator.
		w := call("POST", "/v1/notes", "secret", note, "")
		Expect(w.Body.String()).To(MatchJSON(`{"revision":3}`))
		Expect(fake.operator).To(Equal("ops"))
		fake.err = verdict.New(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown, "lost")
		w = call("POST", "/v1/notes", "secret", note, "")
		Expect(w.Code).To(Equal(http.StatusConflict))
		e, ok := verdict.ParseBody(w.Body.Bytes())
		Expect(ok).To(BeTrue())
		Expect(e.Verdict).To(Equal(verdict.MayHaveRun))
	})

	It("limits the size of bodies", func() {
		// Guards against memory use that the sender controls.
		w := call("POST", "/v1/notes", "secret", strings.Repeat(" ", release.MaxSize+1), "")
		Expect(w.Code).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("shows a group as healthy only with fresh evidence of every member", func() {
		// Guards against a status that shows an incomplete group as healthy.
		group := fleet.PlacedGroup{Name: "g", Service: "s", Version: "v", Generation: 4, Phase: fleet.PhaseServing,
			Members: []fleet.GroupMember{{Instance: "i0"}, {Instance: "i1"}}}
		board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{
			"f": {Placement: fleet.Placement{Groups: []fleet.PlacedGroup{group}}}}})
		status := func(age time.Duration) operator.GroupStatus {
			evidence := &blackboard.Evidence{ByInstance: map[string]blackboard.Observation{}}
			for rank, m := range group.Members {
				evidence.ByInstance[m.Instance] = blackboard.Observation{ObservedAt: now.Add(-age * time.Duration(rank)),
					Report: fleet.Report{Instance: m.Instance, State: fleet.EngineReady, Group: "g", Generation: 4,
						Rank: rank, Size: 2, Service: "s", Version: "v"}}
			}
			board.Evidence.Publish(evidence)
			var s operator.Status
			Expect(json.Unmarshal(call("GET", "/v1/status", "secret", "", "").Body.Bytes(), &s)).To(Succeed())
			Expect(s.Groups).To(HaveLen(1))
			return s.Groups[0]
		}
		Expect(status(time.Second).Healthy).To(BeTrue())
		Expect(status(3 * time.Second).Healthy).To(BeFalse())
		Expect(status(3 * time.Second).Ready).To(Equal(1))
	})

	It("dumps every section and the results of the dumpers", func() {
		// Guards against a dump that fails if sections have not been published.
		w := call("GET", "/debug/state", "secret", "", "")
		Expect(w.Code).To(Equal(http.StatusOK))
		Expect(w.Body.String()).To(And(ContainSubstring(`"budget":7`), ContainSubstring(`"lifecycle":null`)))
	})

	It("shows only the start of a key hash in a dump", func() {
		// Guards against a dump with which guessed keys can be verified, and
		// against modifying the published configuration.
		hash := strings.Repeat("0123456789abcdef", 4)
		configuration := &fleet.Configuration{Organisations: []fleet.Organisation{{Name: "o", KeyHashes: []string{hash}}}}
		board.Configuration.Publish(configuration)
		Expect(call("GET", "/debug/state", "secret", "", "").Body.String()).To(ContainSubstring(`"keyHashes":["01234567"]`))
		Expect(configuration.Organisations[0].KeyHashes).To(Equal([]string{hash}))
	})

	It("encodes missing groups, members and shards as empty lists", func() {
		// Guards against null on a node that has just started: clients can't
		// iterate over it.
		body := call("GET", "/v1/status", "secret", "", "").Body.String()
		Expect(body).To(And(ContainSubstring(`"groups":[]`), ContainSubstring(`"members":[]`), ContainSubstring(`"shards":[]`)))
	})

	It("writes metrics as JSON and as text", func() {
		// Guards against names and units that a Prometheus scraper refuses.
		metrics.GetOrRegisterCounter("a.b-c", registry).Inc(2)
		metrics.GetOrRegisterTimer("wait", registry).Update(1500 * time.Millisecond)
		Expect(call("GET", "/metrics", "secret", "", "").Body.String()).To(ContainSubstring(`"a.b-c":{"count":2}`))
		text := call("GET", "/metrics", "secret", "", "text/plain").Body.String()
		Expect(text).To(And(ContainSubstring("rattanlanding_a_b_c 2\n"),
			ContainSubstring("rattanlanding_wait_seconds_sum 1.5\n"), ContainSubstring("rattanlanding_wait_seconds_count 1\n")))
	})
})
