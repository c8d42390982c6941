package upstream_test

import (
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/upstream"
)

var _ = Describe("Response.Progress", func() {
	It("doesn't count for the next request on the connection", func() {
		// Guards against a stall that is noticed late because of an earlier response, and a data race.
		address, connections := newServer(responseWith("r", "one"), "")
		p := upstream.NewPool(upstream.Config{})
		first, err := p.Get(context.Background(), address, false, 0)
		Expect(err).NotTo(HaveOccurred())
		own := func(int, http.Header) bool { return true }
		response, err := first.Do(context.Background(), &upstream.Request{Method: http.MethodGet, Target: "/x", Host: "h", IsOwn: own})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())

		second, err := p.Get(context.Background(), address, false, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(connections.Load()).To(BeEquivalentTo(1))
		const limit = 300 * time.Millisecond
		started := time.Now()
		_, err = second.Do(context.Background(), &upstream.Request{Method: http.MethodGet, Target: "/x", Host: "h", IsOwn: own,
			Watch: func(sinceProgress time.Duration) (time.Duration, error) {
				response.Progress()
				if sinceProgress > limit || time.Since(started) > 4*limit {
					return 0, io.ErrNoProgress
				}
				return limit / 10, nil
			}})
		Expect(err).To(MatchError(io.ErrNoProgress))
		Expect(time.Since(started)).To(BeNumerically("<", 2*limit))
	})
})
