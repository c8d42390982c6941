package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Handler with a caller that leaves before the response", func() {
	It("goes on sending requests to the server", func() {
		// Guards against callers that give up and so keep sound servers from requests.
		var runs [2]atomic.Int64
		var addresses []string
		for i := range runs {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs[i].Add(1)
				w.Header().Set("Id", r.Header.Get("Id"))
				if r.Header.Get("Id") == "left" {
					<-r.Context().Done()
				}
			}))
			DeferCleanup(server.Close)
			addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
		}
		node := newScriptedNode(addresses...)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, node.URL+"/safe/x", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header.Set("Id", "left")
		_, err = node.Client().Do(r)
		Expect(err).To(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		for range 30 {
			status, _, _ := sendScripted(node, "/safe/x", "r")
			Expect(status).To(Equal(http.StatusOK))
		}
		for i := range runs {
			Expect(runs[i].Load()).To(BeNumerically(">", 1), "requests at server %d", i)
		}
	})
})
