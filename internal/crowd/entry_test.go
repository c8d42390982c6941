package crowd

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

const callerKey = "k1"

// entryConfiguration returns the configuration of a node in entry mode: one service with a
// route for plain requests and one for streams.
func entryConfiguration() map[string]any {
	c := platformtest.Configuration(1, callerKey)
	var routes []any
	for prefix, kind := range map[string]string{"/look/": "safe", "/watch/": "streaming"} {
		routes = append(routes, map[string]any{"name": prefix, "hostname": "a.example", "pathPrefix": prefix, "routeType": kind,
			"service": "desk", "timeoutMs": 60000, "latencyGoalMs": 5000, "maxAttempts": 2, "resumable": false, "targetGapMs": 5000})
	}
	c["routes"] = routes
	c["limits"] = map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 60000, "idleTimeoutMs": 60000}
	return c
}

// startEntry starts a store, a backend server and a node in entry mode.
func startEntry(t *testing.T) *node {
	t.Helper()
	g := NewWithT(t)
	store, err := platformtest.NewStore("")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(store.Close)
	store.Put("config", "main", entryConfiguration())
	server := httptest.NewServer(backendServer(func(h, request http.Header) { platformtest.SetResponseHeaders(h, "s-1", request) }))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	store.Put("servers", "s-1", map[string]any{"service": "desk", "address": server.Listener.Addr().String(), "zone": "z1",
		"version": "v1", "coldRemainingMs": 0, "state": "ready", "slots": 1000, "born": 1, "sequence": 1, "models": []any{}})
	ip := freeIP(t)
	n := startProcess(t, "entry", map[string]any{
		"node": "n1", "region": "r1", "failureDomain": "z1", "callerAddress": ip + ":7501", "directoryAddress": ip + ":7502",
		"readinessAddress": ip + ":7503", "peerAddress": ip + ":7504", "platformAddress": store.Address(), "firstStart": true,
		"memoryBytes": memoryBytes,
	})
	n.address = ip + ":7501"
	request := func(method, target string) string {
		header := http.Header{}
		platformtest.SetRequestHeaders(header, "q1", callerKey, time.Minute)
		var text strings.Builder
		g.Expect(header.Write(&text)).To(Succeed())
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\n%s", method, target, &text)
	}
	n.head = func(method, target string) string { return request(method, "/look/x"+target) }
	n.stream = request("GET", "/watch/x?events=1000000") + "\r\n"
	n.waitReady(g, n.isReady)
	return n
}

// freeIP returns an unused loopback address.
func freeIP(t *testing.T) string {
	t.Helper()
	for i := range 200 {
		ip := fmt.Sprintf("127.%d.%d.1", 60+(os.Getpid()+i)%100, 1+i)
		listener, err := net.Listen("tcp", ip+":7500")
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return ip
		}
	}
	t.Fatal("no free loopback address")
	return ""
}
