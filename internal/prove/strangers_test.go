package prove

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/peer/peerpb/peerpbconnect"
	"github.com/rattanlanding/rattanlanding/release"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// strangerPatience exceeds the daemon's longest time limit for a sender.
	strangerPatience = 40 * time.Second
	// halfOpen is the number of connections that send a part and then nothing.
	halfOpen = 200
	// memoryBound is the growth of the daemon's memory that bad input may cause,
	// in KiB: each half-open connection may hold one header and one buffer.
	memoryBound = 64 << 10
	bodyBound   = 1 << 20
)

// TestStrangers sends what no client should to the three listeners of a real
// daemon. It guards against requests that get in without a key, refusals that do
// not say whether the request ran, connections that are held for ever, memory
// that a stranger can use up, and one organisation reading another's answers.
func TestStrangers(t *testing.T) {
	if *pointFlag != "" && *pointFlag != "strangers" {
		return
	}
	g := NewWithT(t)
	c := newCluster(t, clusterSpec{deployment: maracas, nodes: 1, groups: 1, engines: 1, size: 1, servers: 1})
	before := memory(g, c)
	strangersAtCallers(g, c)
	strangersAtOperators(g, c)
	strangersAtPeers(g, c)
	floods(g, c, before)
	for id := range recordedRuns(c.history()).calls {
		t.Errorf("%s ran", id)
	}
	guessedKeys(g, c)
}

// stranger is one input and the refusal that it must get.
type stranger struct {
	text string
	// half tells that the sender closes its side afterwards.
	half bool
	want refusal
}

// expectRefusals sends all inputs at the same time, because some are answered
// only after a time limit.
func expectRefusals(g *WithT, address string, inputs map[string]stranger) {
	var group sync.WaitGroup
	var mu sync.Mutex
	got := map[string]refusal{}
	for name, one := range inputs {
		group.Go(func() {
			r := raw(address, one.text, one.half)
			mu.Lock()
			defer mu.Unlock()
			got[name] = r
		})
	}
	group.Wait()
	for name, one := range inputs {
		g.Expect(got[name]).To(Equal(one.want), name+" at "+address)
	}
}

// refusal is what a stranger got: status 0 means a closed connection.
type refusal struct {
	status  int
	verdict string
	reason  verdict.Reason
}

// notRunRefusal is a refusal as not run for a reason.
func notRunRefusal(status int, reason verdict.Reason) refusal {
	return refusal{status, verdict.NotRun.String(), reason}
}

// raw sends bytes and reads the refusal. The sender then sends nothing more but
// keeps the connection open, unless half is set: then it closes its side.
func raw(address, text string, half bool) refusal {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return refusal{}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(strangerPatience))
	go func() {
		_, _ = io.WriteString(conn, text)
		if half {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return refusal{}
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	r := refusal{status: response.StatusCode, verdict: response.Header.Get(verdict.Header)}
	if e, ok := verdict.ParseBody(body); ok {
		r.reason = e.Reason
		if r.verdict == "" {
			r.verdict = e.Verdict.String()
		}
	}
	return r
}

// post returns a request with a key and a body whose length is declared.
func post(path, key, body string, declared int) string {
	text := "POST " + path + " HTTP/1.1\r\nHost: x\r\n"
	if key != "" {
		text += "Authorization: Bearer " + key + "\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", declared, body)
}

func strangersAtCallers(g *WithT, c *cluster) {
	key, address := organisationKey(maracas.organisations[0]), c.callerAddress(0)
	call, large := "/services/"+maracas.plain+maracas.path, strings.Repeat("x", bodyBound+1)
	expectRefusals(g, address, map[string]stranger{
		"no key":             {post(call, "", "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"wrong key":          {post(call, "guess", "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"operator's key":     {post(call, operatorKey, "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"oversized body":     {post(call, key, large, len(large)), false, notRunRefusal(413, verdict.ReasonTooLarge)},
		"malformed body":     {post("/v1/completions", key, `{"model":`, 9), false, notRunRefusal(400, verdict.ReasonBadRequest)},
		"unknown service":    {post("/services/none/x", key, "{}", 2), false, notRunRefusal(404, verdict.ReasonNotFound)},
		"unknown path":       {post("/v2/none", key, "{}", 2), false, notRunRefusal(404, verdict.ReasonNotFound)},
		"body cut short":     {post(call, key, "{}", 50), true, notRunRefusal(400, verdict.ReasonBadRequest)},
		"body never sent":    {post(call, key, "{}", 50), false, notRunRefusal(400, verdict.ReasonBadRequest)},
		"wrong chunk":        {"POST " + call + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true, notRunRefusal(400, verdict.ReasonBadRequest)},
		"two lengths":        {"POST " + call + " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}x", false, refusal{status: 400}},
		"no number":          {"POST " + call + " HTTP/1.1\r\nHost: x\r\nContent-Length: two\r\n\r\n{}", false, refusal{status: 400}},
		"no HTTP":            {"\x00\x01\x02\r\n\r\n", false, refusal{status: 400}},
		"header never ended": {"POST " + call + " HTTP/1.1\r\nHost: x\r\n", false, refusal{}},
		"header too large":   {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", false, refusal{status: 431}},
	})
}

func strangersAtOperators(g *WithT, c *cluster) {
	key, address := operatorKey, c.operatorAddress(0)
	large := strings.Repeat("x", release.MaxSize+1)
	expectRefusals(g, address, map[string]stranger{
		"no key":             {post("/v1/notes", "", "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"wrong key":          {post("/v1/notes", "guess", "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"caller's key":       {post("/v1/notes", organisationKey(maracas.organisations[0]), "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"oversized body":     {post("/v1/notes", key, large, len(large)), false, notRunRefusal(413, verdict.ReasonTooLarge)},
		"malformed body":     {post("/v1/notes", key, "{", 1), false, notRunRefusal(400, verdict.ReasonBadRequest)},
		"unknown path":       {post("/v1/none", key, "", 0), false, notRunRefusal(404, verdict.ReasonNotFound)},
		"body cut short":     {post("/v1/notes", key, "{}", 50), true, notRunRefusal(400, verdict.ReasonBadRequest)},
		"body never sent":    {post("/v1/notes", key, "{}", 50), false, notRunRefusal(400, verdict.ReasonBadRequest)},
		"no HTTP":            {"\x00\x01\x02\r\n\r\n", false, refusal{status: 400}},
		"header never ended": {"POST /v1/notes HTTP/1.1\r\nHost: x\r\n", false, refusal{}},
	})
}

// strangersAtPeers uses HTTP/2, the only protocol of the peers' listener.
func strangersAtPeers(g *WithT, c *cluster) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}, Timeout: strangerPatience}
	ask := func(key, path string, body []byte) int {
		request, err := http.NewRequest(http.MethodPost, "http://"+c.peerListenAddress(0)+path, bytes.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Content-Type", "application/proto")
		if key != "" {
			request.Header.Set("Authorization", "Bearer "+key)
		}
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	path := peerpbconnect.PeerServiceExchangeProcedure
	g.Expect(ask("", path, nil)).To(Equal(http.StatusUnauthorized), "peers: no key")
	g.Expect(ask("guess", path, nil)).To(Equal(http.StatusUnauthorized), "peers: wrong key")
	g.Expect(ask(operatorKey, path, nil)).To(Equal(http.StatusUnauthorized), "peers: operator's key")
	g.Expect(ask(peerKey, "/none", nil)).To(Equal(http.StatusNotFound), "peers: unknown path")
	g.Expect(ask(peerKey, path, []byte{0xff, 0xff})).To(Equal(http.StatusBadRequest), "peers: malformed body")
	g.Expect(ask(peerKey, path, make([]byte, 16<<20))).To(
		BeElementOf(0, http.StatusTooManyRequests, http.StatusBadRequest), "peers: oversized body")
	g.Expect(raw(c.peerListenAddress(0), post(path, peerKey, "{}", 2), false).status).To(
		BeElementOf(0, http.StatusBadRequest, http.StatusHTTPVersionNotSupported), "peers: HTTP/1")
}

// floods opens connections that send a part of a request and then nothing, and
// sees that a caller with a key is still served meanwhile, that the daemon's
// memory stays bounded and that all connections are closed.
func floods(g *WithT, c *cluster, before int) {
	var group, open sync.WaitGroup
	open.Add(3 * halfOpen)
	part := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 30<<10)
	closed := make(chan error, 3*halfOpen)
	for _, address := range []string{c.callerAddress(0), c.operatorAddress(0), c.peerListenAddress(0)} {
		for range halfOpen {
			group.Go(func() {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					open.Done()
					closed <- err
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, part)
				open.Done()
				_ = conn.SetReadDeadline(time.Now().Add(strangerPatience))
				if _, err := io.ReadAll(conn); os.IsTimeout(err) {
					closed <- fmt.Errorf("%s held a half-open connection", address)
				}
			})
		}
	}
	open.Wait()
	served := c.served(maracas.organisations[0])
	g.Expect(memory(g, c)-before).To(BeNumerically("<", memoryBound), "KiB more than before")
	group.Wait()
	close(closed)
	for err := range closed {
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(served).To(BeTrue(), "a caller with a key was not served beside half-open connections")
}

// served tells whether a caller of the organisation gets addresses.
func (c *cluster) served(organisation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), strangerPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.callerAddress(0)+"/v1/addresses", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+organisationKey(organisation))
	response, err := direct.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// guessedKeys sends one organisation's idempotency key as another organisation:
// neither its answer nor its claim may show.
func guessedKeys(g *WithT, c *cluster) {
	const key, body = "guessable", `{"amount":1}`
	owner, other := maracas.organisations[0], maracas.organisations[1]
	first := c.sendCall(0, 0, owner, key, body, strangerPatience)
	same := c.sendCall(1, 0, other, key, body, strangerPatience)
	changed := c.sendCall(2, 0, maracas.organisations[2], key, body+" ", strangerPatience)
	again := c.sendCall(0, 0, owner, key, body, strangerPatience)
	record := recordedRuns(c.history())
	for _, o := range []Operation{first, same, changed, again} {
		g.Expect(o.OK).To(BeTrue(), o.Error)
		_, err := record.producedBy(&o)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(same.Answer).NotTo(Equal(first.Answer))
	g.Expect(again.Answer).To(Equal(first.Answer))
}

// memory returns the resident memory of the daemon in KiB.
func memory(g *WithT, c *cluster) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.node(0).cmd.Process.Pid))
	g.Expect(err).NotTo(HaveOccurred())
	_, rest, found := strings.Cut(string(data), "VmRSS:")
	g.Expect(found).To(BeTrue())
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	g.Expect(err).NotTo(HaveOccurred())
	return kib
}
