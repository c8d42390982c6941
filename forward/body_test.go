package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/memory"
)

var _ = Describe("Bodies of requests", func() {
	var (
		budget *memory.Budget
		runs   atomic.Int64
		server *httptest.Server
	)

	BeforeEach(func() {
		budget = memory.NewBudget(memory.Config{Bytes: 32 << 20})
		runs.Store(0)
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("Id", r.Header.Get("Id"))
			fmt.Fprint(w, len(body))
		}))
		DeferCleanup(server.Close)
	})

	send := func(node *httptest.Server, body io.Reader) (*http.Response, string) {
		GinkgoHelper()
		request, err := http.NewRequest(http.MethodPut, node.URL+"/plain/", body)
		Expect(err).NotTo(HaveOccurred())
		request.Host = "h"
		request.Header.Set("Id", "r")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response, string(text)
	}

	It("are refused as not run if there is no memory, unless they are small", func() {
		// Guards against small requests that large ones keep from being served, and against a
		// refusal without its promise.
		node := newLimitedNode(server.Listener.Addr().String(), Config{}, budget)
		others := budget.NewHold(memory.Bodies, memory.Owner{}, func() {})
		Expect(others.Acquire(budget.Limit(memory.Bodies), 0)).To(Succeed())
		Expect(others.SetRevocable(false)).To(BeTrue())
		response, _ := send(node, bytes.NewReader(make([]byte, 1<<20)))
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(response.Close).To(BeTrue(), "the rest of the body isn't read")
		Expect(runs.Load()).To(BeZero())
		response, text := send(node, bytes.NewReader(make([]byte, memory.FreeSize)))
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(text).To(Equal(fmt.Sprint(memory.FreeSize)))
		others.Release()
		_, text = send(node, bytes.NewReader(make([]byte, defaultMaxBody)))
		Expect(text).To(Equal(fmt.Sprint(defaultMaxBody)), "one of the largest size fits")
		// Chunks announce no size.
		_, text = send(node, io.MultiReader(bytes.NewReader(make([]byte, defaultMaxBody))))
		Expect(text).To(Equal(fmt.Sprint(defaultMaxBody)))
		Eventually(func() int64 { return budget.Used(memory.Bodies) + budget.Used(memory.Requests) }).Should(BeZero())
	})

	It("give their memory back if they don't advance", func() {
		// Guards against callers that stop short of the end and stay.
		node := newLimitedNode(server.Listener.Addr().String(), Config{BodyStallTime: 200 * time.Millisecond}, budget)
		conn, err := net.Dial("tcp", node.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "PUT /plain/ HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: %d\r\n\r\n", 1<<20)
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(make([]byte, 1<<20-1))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Eventually(func() int64 { return budget.Used(memory.Bodies) }).Should(BeZero())
		Expect(runs.Load()).To(BeZero())
	})

	It("stay unchanged until they were sent, also after the response", func() {
		// Guards against blocks that are used for another request while they are still sent.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		var mixed atomic.Int64
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					request, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					first := make([]byte, 1)
					if _, err := io.ReadFull(request.Body, first); err != nil {
						return
					}
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("Id"))
					time.Sleep(20 * time.Millisecond)
					// The node may close the connection before the end of the body.
					rest, _ := io.ReadAll(request.Body)
					if len(bytes.Trim(rest, string(first))) > 0 {
						mixed.Add(1)
					}
				}()
			}
		}()
		node := newLimitedNode(listener.Addr().String(), Config{}, budget)
		var callers sync.WaitGroup
		for i := range 8 {
			callers.Go(func() {
				defer GinkgoRecover()
				for range 10 {
					response, _ := send(node, bytes.NewReader(bytes.Repeat([]byte{byte('a' + i)}, 1<<20)))
					Expect(response.StatusCode).To(Equal(http.StatusOK))
				}
			})
		}
		callers.Wait()
		Expect(mixed.Load()).To(BeZero())
		Eventually(func() int64 { return budget.Used(memory.Bodies) }).Should(BeZero())
	})
})
