package forward

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/quarantine"
)

var _ = Describe("Handler with an engine that crashes at the end of what it sent", func() {
	DescribeTable("reports the crash and doesn't take the response for complete", func(path, script, want string, complete bool) {
		// Guards against a crash that looks like the end of a response without a length: it
		// clears the request that crashes engines, and the caller gets a part as a whole
		// (BUDGET, ORDER, MIXED).
		node := newScriptedNode((&scriptedServer{scripts: []string{script}}).listen())
		_, body, gotComplete := sendScripted(node, path, "r")
		Expect(body).To(Equal(want))
		Expect(gotComplete).To(Equal(complete))
		guard := node.Config.Handler.(*Handler).Quarantine
		Eventually(func() bool { return guard.Report()[quarantine.Requests].Empty() }).Should(BeFalse())
	},
		Entry("a stream", "/stream/x", unframedHead+"id: 1\ndata: a\n\nCRASH", "id: 1\ndata: a\n\n", false),
		Entry("a body", "/safe/x", unframedHead+"okCRASH", "", true),
		Entry("a body of an unsafe request", "/unsafe/x", unframedHead+"okCRASH", "", true),
	)
})
