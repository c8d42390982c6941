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
	// replyTimeout exceeds the longest time that the daemon waits for a client's
	// data.
	replyTimeout = 40 * time.Second
	// halfOpenConns is the number of connections per listener that send a part of a
	// request and then nothing.
	halfOpenConns = 200
	// maxMemoryGrowth is the maximum growth of the daemon's resident memory in KiB.
	// Each half-open connection may hold one header and one buffer.
	maxMemoryGrowth = 64 << 10
	// maxBodyBytes is the default limit of a caller's request body.
	maxBodyBytes = 1 << 20
)

// TestUntrustedClients sends unauthenticated, malformed and incomplete requests to
// the three listeners of a real daemon. It guards against requests accepted without
// a key, refusals that do not say whether the request ran, connections that stay
// open for ever, memory that a client without a key can exhaust, and answers that
// another organisation can read.
func TestUntrustedClients(t *testing.T) {
	if *pointFlag != "" && *pointFlag != "strangers" {
		return
	}
	g := NewWithT(t)
	c := newCluster(t, clusterSpec{deployment: maracas, nodes: 1, groups: 1, engines: 1, groupSize: 1, servers: 1})
	before := residentMemory(g, c)
	expectCallerRefusals(g, c)
	expectOperatorRefusals(g, c)
	expectPeerRefusals(g, c)
	expectHalfOpenConnsClosed(g, c, before)
	for id := range recordedExecutions(c.history()).calls {
		t.Errorf("%s was executed although it should have been refused", id)
	}
	expectKeysIsolated(g, c)
}

// hostileInput is the raw data that a client sends and the refusal that it must get.
type hostileInput struct {
	text string
	// closeWrite makes the client close its sending side afterwards.
	closeWrite bool
	want       refusal
}

// expectRefusals sends all inputs, which are keyed by a description, and checks the
// refusals. It sends them concurrently, because some are answered only after a
// timeout.
func expectRefusals(g *WithT, address string, inputs map[string]hostileInput) {
	var group sync.WaitGroup
	var mu sync.Mutex
	got := map[string]refusal{}
	for name, input := range inputs {
		group.Go(func() {
			r := sendRaw(address, input.text, input.closeWrite)
			mu.Lock()
			defer mu.Unlock()
			got[name] = r
		})
	}
	group.Wait()
	for name, input := range inputs {
		g.Expect(got[name]).To(Equal(input.want), name+" at "+address)
	}
}

// refusal is the response to a client; status 0 means that the connection was closed
// without a response. The verdict is empty if the response has none.
type refusal struct {
	status  int
	verdict string
	reason  verdict.Reason
}

// notRunRefusal returns a refusal with the verdict NotRun.
func notRunRefusal(status int, reason verdict.Reason) refusal {
	return refusal{status, verdict.NotRun.String(), reason}
}

// sendRaw sends text on a new connection and returns the refusal. The connection
// then stays open, except that its sending side is closed if closeWrite is set.
func sendRaw(address, text string, closeWrite bool) refusal {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return refusal{}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(replyTimeout))
	go func() {
		_, _ = io.WriteString(conn, text)
		if closeWrite {
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

// postRequest returns a POST request with an optional key; declared is the value of
// its Content-Length header, which may differ from the body's length.
func postRequest(path, key, body string, declared int) string {
	text := "POST " + path + " HTTP/1.1\r\nHost: x\r\n"
	if key != "" {
		text += "Authorization: Bearer " + key + "\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", declared, body)
}

// expectCallerRefusals sends bad requests to the callers' listener.
func expectCallerRefusals(g *WithT, c *cluster) {
	key, address := organisationKey(maracas.organisations[0]), c.callerAddress(0)
	call, oversized := "/services/"+maracas.plainService+maracas.path, strings.Repeat("x", maxBodyBytes+1)
	expectRefusals(g, address, map[string]hostileInput{
		"no key":                      {postRequest(call, "", "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"wrong key":                   {postRequest(call, "guess", "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"operator's key":              {postRequest(call, operatorKey, "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"oversized body":              {postRequest(call, key, oversized, len(oversized)), false, notRunRefusal(413, verdict.ReasonTooLarge)},
		"malformed body":              {postRequest("/v1/completions", key, `{"model":`, 9), false, notRunRefusal(400, verdict.ReasonBadRequest)},
		"unknown service":             {postRequest("/services/none/x", key, "{}", 2), false, notRunRefusal(404, verdict.ReasonNotFound)},
		"unknown path":                {postRequest("/v2/none", key, "{}", 2), false, notRunRefusal(404, verdict.ReasonNotFound)},
		"truncated body":              {postRequest(call, key, "{}", 50), true, notRunRefusal(400, verdict.ReasonBadRequest)},
		"body never sent":             {postRequest(call, key, "{}", 50), false, notRunRefusal(400, verdict.ReasonBadRequest)},
		"invalid chunk size":          {"POST " + call + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true, notRunRefusal(400, verdict.ReasonBadRequest)},
		"two Content-Length headers":  {"POST " + call + " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}x", false, refusal{status: 400}},
		"Content-Length not a number": {"POST " + call + " HTTP/1.1\r\nHost: x\r\nContent-Length: two\r\n\r\n{}", false, refusal{status: 400}},
		"not HTTP":                    {"\x00\x01\x02\r\n\r\n", false, refusal{status: 400}},
		"header never completed":      {"POST " + call + " HTTP/1.1\r\nHost: x\r\n", false, refusal{}},
		"header too large":            {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", false, refusal{status: 431}},
	})
}

// expectOperatorRefusals sends bad requests to the operators' listener.
func expectOperatorRefusals(g *WithT, c *cluster) {
	key, address := operatorKey, c.operatorAddress(0)
	oversized := strings.Repeat("x", release.MaxSize+1)
	expectRefusals(g, address, map[string]hostileInput{
		"no key":                 {postRequest("/v1/notes", "", "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"wrong key":              {postRequest("/v1/notes", "guess", "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"caller's key":           {postRequest("/v1/notes", organisationKey(maracas.organisations[0]), "{}", 2), false, notRunRefusal(401, verdict.ReasonUnauthenticated)},
		"oversized body":         {postRequest("/v1/notes", key, oversized, len(oversized)), false, notRunRefusal(413, verdict.ReasonTooLarge)},
		"malformed body":         {postRequest("/v1/notes", key, "{", 1), false, notRunRefusal(400, verdict.ReasonBadRequest)},
		"unknown path":           {postRequest("/v1/none", key, "", 0), false, notRunRefusal(404, verdict.ReasonNotFound)},
		"truncated body":         {postRequest("/v1/notes", key, "{}", 50), true, notRunRefusal(400, verdict.ReasonBadRequest)},
		"body never sent":        {postRequest("/v1/notes", key, "{}", 50), false, notRunRefusal(400, verdict.ReasonBadRequest)},
		"not HTTP":               {"\x00\x01\x02\r\n\r\n", false, refusal{status: 400}},
		"header never completed": {"POST /v1/notes HTTP/1.1\r\nHost: x\r\n", false, refusal{}},
	})
}

// expectPeerRefusals sends bad requests to the peers' listener. It uses HTTP/2, the
// only protocol that this listener accepts.
func expectPeerRefusals(g *WithT, c *cluster) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}, Timeout: replyTimeout}
	send := func(key, path string, body []byte) int {
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
	g.Expect(send("", path, nil)).To(Equal(http.StatusUnauthorized), "peers: no key")
	g.Expect(send("guess", path, nil)).To(Equal(http.StatusUnauthorized), "peers: wrong key")
	g.Expect(send(operatorKey, path, nil)).To(Equal(http.StatusUnauthorized), "peers: operator's key")
	g.Expect(send(peerKey, "/none", nil)).To(Equal(http.StatusNotFound), "peers: unknown path")
	g.Expect(send(peerKey, path, []byte{0xff, 0xff})).To(Equal(http.StatusBadRequest), "peers: malformed body")
	g.Expect(send(peerKey, path, make([]byte, 16<<20))).To(
		BeElementOf(0, http.StatusTooManyRequests, http.StatusBadRequest), "peers: oversized body")
	g.Expect(sendRaw(c.peerListenAddress(0), postRequest(path, peerKey, "{}", 2), false).status).To(
		BeElementOf(0, http.StatusBadRequest, http.StatusHTTPVersionNotSupported), "peers: HTTP/1")
}

// expectHalfOpenConnsClosed opens halfOpenConns connections to each listener that
// send a part of a request and then nothing. It checks that a caller with a key is
// still served meanwhile, that the daemon's memory has grown by less than
// maxMemoryGrowth from before, and that the daemon closes all connections.
func expectHalfOpenConnsClosed(g *WithT, c *cluster, before int) {
	var group, sent sync.WaitGroup
	sent.Add(3 * halfOpenConns)
	part := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 30<<10)
	errs := make(chan error, 3*halfOpenConns)
	for _, address := range []string{c.callerAddress(0), c.operatorAddress(0), c.peerListenAddress(0)} {
		for range halfOpenConns {
			group.Go(func() {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					sent.Done()
					errs <- err
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, part)
				sent.Done()
				_ = conn.SetReadDeadline(time.Now().Add(replyTimeout))
				if _, err := io.ReadAll(conn); os.IsTimeout(err) {
					errs <- fmt.Errorf("%s did not close a half-open connection within %s", address, replyTimeout)
				}
			})
		}
	}
	sent.Wait()
	served := c.isServed(maracas.organisations[0])
	g.Expect(residentMemory(g, c)-before).To(BeNumerically("<", maxMemoryGrowth), "growth of the daemon's resident memory in KiB")
	group.Wait()
	close(errs)
	for err := range errs {
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(served).To(BeTrue(), "a caller with a key was not served while half-open connections existed")
}

// isServed reports whether a caller of the organisation gets the node addresses.
func (c *cluster) isServed(organisation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.callerAddress(0)+"/v1/addresses", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+organisationKey(organisation))
	response, err := directClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// expectKeysIsolated checks that an organisation that uses another one's idempotency
// key, with the same or a different body, gets an answer of its own and no conflict
// with the other's claim.
func expectKeysIsolated(g *WithT, c *cluster) {
	const key, body = "guessable", `{"amount":1}`
	owner, other := maracas.organisations[0], maracas.organisations[1]
	first := c.sendCall(0, 0, owner, key, body, replyTimeout)
	same := c.sendCall(1, 0, other, key, body, replyTimeout)
	changed := c.sendCall(2, 0, maracas.organisations[2], key, body+" ", replyTimeout)
	again := c.sendCall(0, 0, owner, key, body, replyTimeout)
	record := recordedExecutions(c.history())
	for _, o := range []Operation{first, same, changed, again} {
		g.Expect(o.OK).To(BeTrue(), o.Error)
		_, err := record.executionOf(&o)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(same.Answer).NotTo(Equal(first.Answer))
	g.Expect(again.Answer).To(Equal(first.Answer))
}

// residentMemory returns the resident memory of the daemon in KiB, from /proc.
func residentMemory(g *WithT, c *cluster) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.node(0).cmd.Process.Pid))
	g.Expect(err).NotTo(HaveOccurred())
	_, rest, found := strings.Cut(string(data), "VmRSS:")
	g.Expect(found).To(BeTrue())
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	g.Expect(err).NotTo(HaveOccurred())
	return kib
}
