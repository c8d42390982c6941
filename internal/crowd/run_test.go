package crowd

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
	"github.com/rattanlanding/rattanlanding/release"
)

const operatorKey = "crowd-operator-key"

// startRun starts a platform, a plain server, an engine and a node in run mode.
func startRun(t *testing.T) *node {
	t.Helper()
	g := NewWithT(t)
	ip := freeIP(t)
	platform := ip + ":7000"
	set, err := standin.Start(context.Background(), standin.Config{
		Platform: &standin.PlatformConfig{Address: platform},
		Engines: []standin.Pool{{Pool: "llm", Count: 1, Region: "r1", FailureDomain: "z1", FabricDomain: "f1", FirstAddress: ip + ":7100",
			Accelerators: 8, TokensPerSecond: 1e4, LoadMs: 1, MaxRunning: 1000}},
	}, log.NewNopLogger())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(set.Close)
	server := httptest.NewServer(plainServer())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	g.Expect(call(http.MethodPut, platform, "/control/instances", standin.InstanceChange{Put: []fleet.Instance{{
		ID: "s-1", Address: server.Listener.Addr().String(), Pool: "desk", Region: "r1", FailureDomain: "z1", State: fleet.InstanceLive}}})).To(Succeed())
	operators := ip + ":7502"
	n := startProcess(t, "run", map[string]any{
		"node": "n1", "region": "r1", "failureDomain": "z1", "callerAddress": ip + ":7501", "operatorAddress": operators,
		"peerAddress": ip + ":7503", "platformAddresses": []string{platform}, "peers": []string{ip + ":7503"},
		"operatorKeys": []map[string]string{{"name": "crowd", "keySha256": hash(operatorKey)}}, "peerKey": "crowd-peer-key-0123456789",
		"limits": map[string]any{"memoryBytes": memoryBytes, "maxBodyBytes": maxBodyBytes},
	})
	n.address = ip + ":7501"
	request := func(method, target string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n", method, target, callerKey)
	}
	n.head = func(method, target string) string { return request(method, "/services/desk/x"+target) }
	prompt := `{"model":"llm","prompt":"p","max_tokens":30000,"stream":true}`
	n.stream = request("POST", "/v1/completions") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(prompt), prompt)
	n.waitReady(g, func() error { return call(http.MethodPost, operators, "/v1/notes", firstNote()) })
	n.waitReady(g, n.isReady)
	return n
}

// firstNote returns the release note that adds the services, an organisation and a group.
func firstNote() release.Note {
	note := release.Note{ID: "first"}
	note.Added.Services = []fleet.Service{{Name: "llm", Kind: fleet.KindModel, Pool: "llm", Version: "v1"},
		{Name: "desk", Kind: fleet.KindPlain, Pool: "desk"}}
	note.Added.Organisations = []fleet.Organisation{{Name: "lodge", KeyHashes: []string{hash(callerKey)}}}
	note.Added.Groups = []fleet.Group{{Name: "g1", Service: "llm", Size: 1, FabricDomain: "f1"}}
	return note
}

// plainServer returns a plain server.
func plainServer() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", backendServer(func(h, request http.Header) {
		h.Set(backend.HeaderAttempt, request.Get(backend.HeaderAttempt))
	}))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		// If it fails, the node sees no report.
		_ = json.NewEncoder(w).Encode(fleet.Report{Instance: "s-1", Boot: "b1", State: fleet.EngineReady})
	})
	return mux
}

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// call sends a JSON body to one of the interfaces that aren't those of callers.
func call(method, address, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
