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
	// requestTimeout exceeds the time that a node spends on one note.
	requestTimeout = 20 * time.Second
	dialTimeout    = 3 * time.Second
	maxAnswerBytes = 64 << 20
)

// client calls the operators' interface of the nodes in order.
type client struct {
	addresses []string
	key       string
	http      *http.Client
}

// newClient returns a client that sends each request once per connection, so
// that a broken connection never leads to a silent repeat.
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

// request is one call of the operators' interface.
type request struct {
	method string
	path   string
	body   []byte
	// readOnly requests have no effect, so a lost answer is never unknown.
	readOnly bool
}

// do sends r to the addresses from first on, in a ring, and goes on to the next
// address only when r was certainly not run and another node may accept it. It
// returns the answer and the index of the address that gave the last answer.
func (c *client) do(ctx context.Context, r request, first int) ([]byte, int, error) {
	if len(c.addresses) == 0 {
		return nil, 0, &usageError{"no address: set --address or RATTANCTL_ADDRESS"}
	}
	var err error
	at := first % len(c.addresses)
	for i := range c.addresses {
		at = (first + i) % len(c.addresses)
		var answer []byte
		if answer, err = c.once(ctx, r, c.addresses[at]); err == nil {
			return answer, at, nil
		}
		if e := verdict.Of(err); e.Verdict != verdict.NotRun || !temporary(e.Reason) {
			break
		}
	}
	return nil, at, err
}

// temporary reports whether another node may accept what one node refused.
func temporary(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonUnconfirmed, verdict.ReasonDraining, verdict.ReasonPlatform,
		verdict.ReasonOverloaded, verdict.ReasonNoServer:
		return true
	default:
		return false
	}
}

// once sends r to one address.
func (c *client) once(ctx context.Context, r request, address string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, &usageError{"bad address " + address}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(req)
	if err != nil {
		return nil, r.lost(address, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, r.lost(address, err)
	}
	if response.StatusCode == http.StatusOK {
		return answer, nil
	}
	if e, ok := verdict.ParseBody(answer); ok {
		return nil, e
	}
	return nil, r.lost(address, errors.New("unexpected answer "+response.Status))
}

// lost gives a transport error its verdict: a connection that was never made
// carried nothing.
func (r *request) lost(address string, err error) error {
	var op *net.OpError
	if r.readOnly || errors.As(err, &op) && op.Op == "dial" {
		return verdict.New(verdict.NotRun, verdict.ReasonNoServer, "no answer from %s", address).WithCause(err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown, "the answer of %s was lost", address).WithCause(err)
}
