package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/internal/readall"
)

const (
	// maxPeerHeaderBytes is the largest size of the head of another node's response.
	maxPeerHeaderBytes = 16 << 10
	// peerIdleTimeout is how long an idle connection to another node is kept.
	peerIdleTimeout = 90 * time.Second
)

// peerClient is the HTTP client for the peer addresses of other nodes.
var peerClient = &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: maxPeerHeaderBytes, IdleConnTimeout: peerIdleTimeout}}

// peerStatusError is returned for a response of another node whose status isn't 200.
type peerStatusError struct {
	address string
	status  int
}

// Error implements error.
func (e *peerStatusError) Error() string {
	return fmt.Sprintf("node at %s responded with status %d", e.address, e.status)
}

// getFromPeer sends a GET request to another node and decodes the response into
// target.
func getFromPeer(ctx context.Context, address, path string, timeout time.Duration, target any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := peerClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &peerStatusError{address, response.StatusCode}
	}
	data, err := readall.Limited(response.Body, maxDocumentBytes)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode response of node at %s: %w", address, err)
	}
	return nil
}

// peerHandler returns the handler for requests of other nodes: for documents, and those that are
// to be carried to backend servers.
func peerHandler(documents http.Handler, carrier *forward.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forward.IsDetour(r) {
			carrier.ServeDetour(w, r)
			return
		}
		documents.ServeHTTP(w, r)
	})
}
