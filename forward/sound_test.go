package forward

import (
	"net/http"
	"time"

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

var _ = Describe("Handler with a request that has crashed engines", func() {
	// crashedTwice returns a node and its guard after two crashes under the request to a path.
	crashedTwice := func(path, script string) (crash func(), guard *quarantine.Guard, r quarantine.Request) {
		s := &scriptedServer{scripts: []string{script, script, script}}
		node := newScriptedNode(s.listen(), s.listen())
		guard = node.Config.Handler.(*Handler).Quarantine
		request, err := http.NewRequest(http.MethodGet, "http://h"+path, nil)
		Expect(err).NotTo(HaveOccurred())
		r = quarantine.Request{ID: (&call{request: request, target: path}).identify(), Prompt: []string{"shared", "own"}}
		crash = func() {
			r.EarlierAttempts++
			guard.Crashed("x", int64(r.EarlierAttempts), r, false, time.Now())
		}
		crash()
		crash()
		time.Sleep(5 * time.Millisecond)
		sendScripted(node, path, "r")
		return crash, guard, r
	}

	DescribeTable("is not cleared by an answer that proves no sound run", func(path, script string) {
		// Guards against a deadly request that is never refused because an engine rejects it
		// now and then (BUDGET).
		crash, guard, r := crashedTwice(path, script)
		crash()
		Expect(guard.Match(r)).NotTo(BeNil())
	},
		Entry("500 of a safe request", "/safe/x", "HTTP/1.1 500 x\r\nId: ID\r\nContent-Length: 0\r\n\r\n"),
		Entry("504 of an unsafe request", "/unsafe/x", "HTTP/1.1 504 x\r\nId: ID\r\nContent-Length: 0\r\n\r\n"),
		Entry("a stream without events", "/stream/x", streamHead+"0\r\n\r\n"),
		Entry("429, which doesn't say whether it ran", "/safe/x", "HTTP/1.1 429 x\r\nId: ID\r\nContent-Length: 0\r\n\r\n"),
		Entry("404 without its whole body", "/safe/x", "HTTP/1.1 404 x\r\nId: ID\r\nContent-Length: 9\r\n\r\nCLOSE"),
		Entry("404 of a stream that breaks off with its engine", "/stream/x", "HTTP/1.1 404 x\r\nId: ID\r\n\r\nnoCRASH"),
	)

	DescribeTable("is cleared by a client error that a server sent after it had run the request",
		func(path string) {
			// Guards against refusing for good what servers answer with an error of their own, because
			// such requests are in flight at each crash (DENIED).
			crash, guard, r := crashedTwice(path, "HTTP/1.1 404 x\r\nId: ID\r\nContent-Length: 2\r\n\r\nno")
			crash()
			Expect(guard.Match(r)).To(BeNil())
		},
		Entry("safe", "/safe/x"),
		Entry("unsafe", "/unsafe/x"),
		Entry("a stream", "/stream/x"),
	)

	It("is cleared by a success, with the parts of its prompt", func() {
		// Guards against refusing a sound request, and the parts of a plain one, for good.
		crash, guard, r := crashedTwice("/safe/x", sound)
		Expect(guard.Report()[quarantine.Parts].Clearances).NotTo(BeEmpty())
		crash()
		Expect(guard.Match(r)).To(BeNil())
	})
})
