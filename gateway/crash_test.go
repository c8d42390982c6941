package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/fleet"
)

const longRequest = `{"model":"llm","prompt":"hi","max_tokens":20,"stream":true}`

// statusFunc implements gateway.StatusSource by a function.
type statusFunc func(address string) (fleet.Report, error)

func (f statusFunc) Status(_ context.Context, address string) (fleet.Report, error) {
	return f(address)
}

// breakOff sends one token and closes the connection.
func breakOff(a attempt) {
	a.writeTokens(len(a.Resume), len(a.Resume)+1)
	panic(http.ErrAbortHandler)
}

var _ = Describe("Engines that crash", func() {
	var e *testEnv
	BeforeEach(func() { e = newTestEnv() })

	DescribeTable("after a token under one completion after another",
		// Guards against a completion that crashes each engine after its first token and is
		// resumed on up to 17 engines, and against broken connections that count as crashes.
		func(status func(instance string) (fleet.Report, error), attempts int) {
			instances := map[string]string{}
			for range 18 {
				e.addEngine(breakOff)
				group := &e.placement.Groups[len(e.placement.Groups)-1]
				group.Members = append(group.Members, fleet.GroupMember{Instance: group.Name + "-1", Address: "member of " + group.Name})
				second := e.evidence[group.Name]
				second.Report.Instance, second.Report.Rank = group.Name+"-1", 1
				e.evidence[second.Report.Instance] = second
				for i, m := range group.Members {
					instances[m.Address] = m.Instance
					seen := e.evidence[m.Instance]
					seen.Report.Boot, seen.Report.Rank, seen.Report.Size = "1", i, 2
					e.evidence[m.Instance] = seen
				}
			}
			e.statuses = statusFunc(func(address string) (fleet.Report, error) { return status(instances[address]) })
			e.start()
			Expect(e.do("POST", "/v1/completions", longRequest).body).To(ContainSubstring("event: error"))
			Expect(e.receivedAttempts()).To(HaveLen(attempts))
		},
		Entry("connections refused", func(string) (fleet.Report, error) { return fleet.Report{}, syscall.ECONNREFUSED }, 3),
		Entry("started again", func(instance string) (fleet.Report, error) {
			return fleet.Report{Instance: instance, Boot: "2"}, nil
		}, 3),
		Entry("another member of the group", func(instance string) (fleet.Report, error) {
			if strings.HasSuffix(instance, "-1") {
				return fleet.Report{}, syscall.ECONNREFUSED
			}
			return fleet.Report{Instance: instance, Boot: "1"}, nil
		}, 3),
		Entry("connections reset by sound engines", func(instance string) (fleet.Report, error) {
			return fleet.Report{Instance: instance, Boot: "1"}, nil
		}, 17),
		Entry("hosts lost", func(string) (fleet.Report, error) { return fleet.Report{}, context.DeadlineExceeded }, 17),
	)

	It("are found by their address, which no process listens on", func() {
		// Guards against crashes that are not found because the client hides the refused
		// connection.
		var servers [4]*httptest.Server
		for i := range servers {
			servers[i] = e.addEngine(func(a attempt) {
				_ = servers[i].Listener.Close()
				breakOff(a)
			})
		}
		e.statuses = backend.NewEngineClient(metrics.NewRegistry())
		e.start()
		Expect(e.do("POST", "/v1/completions", longRequest).body).To(ContainSubstring("request-quarantined"))
		Expect(e.receivedAttempts()).To(HaveLen(3))
	})
})
