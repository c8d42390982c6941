package forward

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/quarantine"
)

// unframedHead begins a response with neither a length nor chunks, which ends with its
// connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: ID\r\n\r\n"

var _ = Describe("Handler with a response that ends with its connection", func() {
	const a, b = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"

	DescribeTable("delivers it whole, or not as whole",
		func(path string, scripts []string, status int, want string, complete bool, runs int) {
			// Guards against a stream that ends within an event, a stream without events, or a
			// body that was reset, and that looks complete (ORDER, MIXED), and against a failure
			// in place of a complete one.
			s := &scriptedServer{scripts: scripts}
			gotStatus, body, gotComplete := sendScripted(newScriptedNode(s.listen(), s.listen()), path, "r")
			Expect(gotStatus).To(Equal(status))
			Expect(body).To(Equal(want))
			Expect(gotComplete).To(Equal(complete))
			Expect(s.ran("r")).To(Equal(runs))
		},
		Entry("a body", "/safe/x", []string{unframedHead + "okCLOSE"}, 200, "ok", true, 1),
		Entry("a body of an unsafe request", "/unsafe/x", []string{unframedHead + "okCLOSE"}, 200, "ok", true, 1),
		Entry("a body that is reset", "/safe/x", []string{unframedHead + "oRESET", sound}, 200, "ok", true, 2),
		Entry("a body of an unsafe request that is reset", "/unsafe/x", []string{unframedHead + "oRESET", sound}, 502, "", true, 1),
		Entry("a stream", "/stream/x", []string{unframedHead + a + b + "CLOSE"}, 200, a+b, true, 1),
		Entry("a stream that ends within a line", "/stream/x", []string{unframedHead + a + "id: 2\ndaCLOSE", unframedHead + b + "CLOSE"}, 200, a+b, true, 2),
		Entry("a stream that ends within an ID", "/stream/x", []string{unframedHead + a + "id: 2CLOSE", unframedHead + b + "CLOSE"}, 200, a+b, true, 2),
		Entry("a stream that ends before the blank line", "/stream/x", []string{unframedHead + a + "id: 2\ndata: b\nCLOSE", unframedHead + b + "CLOSE"}, 200, a+b, true, 2),
		Entry("a stream that ends within its first event", "/stream/x", []string{unframedHead + "idCLOSE", unframedHead + a + b + "CLOSE"}, 200, a+b, true, 2),
		Entry("a stream that is reset between events", "/stream/x", []string{unframedHead + a + "RESET", unframedHead + b + "CLOSE"}, 200, a+b, true, 2),
		Entry("a stream that ends before its first event", "/stream/x", []string{unframedHead + "CLOSE", unframedHead + a + b + "CLOSE"}, 200, a+b, true, 2),
		Entry("a stream that ends after a comment", "/stream/x", []string{unframedHead + ": ready\n\nCLOSE", streamHead + twoEvents + "0\r\n\r\n"}, 200, ": ready\n\n"+a+b, true, 2),
		Entry("streams that end before their first events", "/stream/x", []string{unframedHead + "CLOSE", unframedHead + "CLOSE"}, 502, "", true, 2),
		Entry("streams that end within an event", "/stream/x", []string{unframedHead + a + "idCLOSE", unframedHead + "id: 2\nCLOSE"}, 200, a, false, 2),
	)

	It("reports the crash of an engine before the first event", func() {
		// Guards against engines that crash under one prompt after another because none of
		// the crashes counts (BUDGET).
		s := &scriptedServer{scripts: []string{unframedHead + "CRASH"}}
		node := newScriptedNode(s.listen())
		status, _, _ := sendScripted(node, "/stream/x", "r")
		Expect(status).To(Equal(502))
		ledger := node.Config.Handler.(*Handler).Quarantine
		Eventually(func() bool {
			return ledger.Report()[quarantine.Requests].Empty() || ledger.Report()[quarantine.Parts].Empty()
		}).Should(BeFalse())
	})
})
