package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// requestTimeout limits one request. It exceeds the time that a node spends on one
	// note.
	requestTimeout = 20 * time.Second
	// dialTimeout limits the time to connect to a node.
	dialTimeout = 3 * time.Second
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 64 << 20
)

// client is a client of the operators' interface. It tries the nodes in order.
type client struct {
	addresses []string
	key       string
	http      *http.Client
}

// newClient returns a client that doesn't reuse connections, so that net/http never
// resends a request because a reused connection broke.
func newClient(addresses []string, key string) *client {
	return &client{addresses: addresses, key: key, http: &http.Client{
		Timeout: requestTimeout,
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// request is a request to the operators' interface.
type request struct {
	method string
	path   string
	body   []byte
	// readOnly is true if the request has no effect, so that its outcome is never
	// unknown, even if the response is lost.
	readOnly bool
}

// do sends r to the addresses in order, starting at index first and wrapping around.
// It continues with the next address only if r was certainly not executed and another
// node may accept it. It returns the response body and the index of the last address
// that it tried.
func (c *client) do(ctx context.Context, r request, first int) ([]byte, int, error) {
	if len(c.addresses) == 0 {
		return nil, 0, &usageError{"no address: set --address or RATTANCTL_ADDRESS"}
	}
	var err error
	index := first % len(c.addresses)
	for i := range c.addresses {
		index = (first + i) % len(c.addresses)
		var body []byte
		if body, err = c.send(ctx, r, c.addresses[index]); err == nil {
			return body, index, nil
		}
		if e := verdict.Of(err); e.Verdict != verdict.NotRun || !isTemporary(e.Reason) {
			break
		}
	}
	return nil, index, err
}

// isTemporary reports whether another node may accept a request that one node rejected
// for this reason.
func isTemporary(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonUnconfirmed, verdict.ReasonDraining, verdict.ReasonPlatform,
		verdict.ReasonOverloaded, verdict.ReasonNoServer:
		return true
	default:
		return false
	}
}

// send sends r to one address.
func (c *client) send(ctx context.Context, r request, address string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, &usageError{"invalid address " + address}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(req)
	if err != nil {
		return nil, r.transportError(address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, r.transportError(address, err)
	}
	if response.StatusCode == http.StatusOK {
		return body, nil
	}
	if e, ok := verdict.ParseBody(body); ok {
		return nil, e
	}
	return nil, r.transportError(address, errors.New("unexpected response status "+response.Status))
}

// transportError returns the verdict for a transport error. If the connection couldn't
// be established, the request was certainly not executed.
func (r *request) transportError(address string, err error) error {
	var op *net.OpError
	if r.readOnly || errors.As(err, &op) && op.Op == "dial" {
		return verdict.New(verdict.NotRun, verdict.ReasonNoServer, "no answer from %s", address).WithCause(err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown, "the answer of %s was lost", address).WithCause(err)
}
