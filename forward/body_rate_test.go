package forward

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Handler with a plain server that falls silent before the rest of a short response", func() {
	DescribeTable("delivers the response whole", func(parts ...string) {
		// Guards against answers that are cut because their server was silent for a while.
		status, length := get(newTestNode(listenPausing(1600*time.Millisecond, parts...)), "/plain/")
		Expect(status).To(Equal(http.StatusOK))
		Expect(length).To(Equal(20))
	},
		Entry("that ends with its connection", okHead, strings.Repeat("x", 20)),
		Entry("in chunks", chunkedHead, "14\r\n"+strings.Repeat("x", 20)+"\r\n", "0\r\n\r\n"),
	)
})
