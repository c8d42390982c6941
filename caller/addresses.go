package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/readall"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxNodeBodyBytes limits the response bodies that nodes themselves produce: addresses and
// errors. Longer ones are truncated.
const maxNodeBodyBytes = 64 << 10

// addressesResponse is the response body of GET /v1/addresses.
type addressesResponse struct {
	Addresses []struct {
		Address       string `json:"address"`
		FailureDomain string `json:"failureDomain"`
	} `json:"addresses"`
	TTLMs int64 `json:"ttlMs"`
}

// Addresses returns the entry addresses to use now, best first. They are cached for their
// time to live. If no node returns new ones, the last ones are used even after that.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	cached, expires := c.addresses, c.expires
	c.mu.Unlock()
	if len(cached) > 0 && time.Now().Before(expires) {
		return cached, nil
	}
	var lastErr error
	for _, node := range c.recentFailuresLast(slices.Concat(cached, c.config.Seeds)) {
		response, err := c.fetchAddresses(ctx, node)
		if err == nil {
			return c.storeAddresses(response), nil
		}
		lastErr = err
	}
	if len(cached) > 0 {
		return cached, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonNoServer, "no known node returned entry addresses").WithCause(lastErr)
}

// recentFailuresLast returns addresses with those at the end that failed within AvoidFor.
func (c *Client) recentFailuresLast(addresses []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var good, failed []string
	for _, address := range addresses {
		if now.Sub(c.failedAt[address]) < c.config.AvoidFor {
			failed = append(failed, address)
		} else {
			good = append(good, address)
		}
	}
	return append(good, failed...)
}

// markFailed records that a request to address got no response.
func (c *Client) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt[address] = time.Now()
}

// storeAddresses caches the addresses of a response and returns them.
func (c *Client) storeAddresses(response addressesResponse) []string {
	list := make([]string, 0, len(response.Addresses))
	for _, a := range response.Addresses {
		list = append(list, a.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = list
	c.expires = time.Now().Add(time.Duration(response.TTLMs) * time.Millisecond)
	return list
}

// fetchAddresses fetches the entry addresses from one node.
func (c *Client) fetchAddresses(ctx context.Context, node string) (addressesResponse, error) {
	var decoded addressesResponse
	ctx, cancel := context.WithTimeout(ctx, c.config.AddressTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/v1/addresses?caller="+c.name, nil)
	if err != nil {
		return decoded, err
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	response, err := c.http.Do(request)
	if err != nil {
		return decoded, err
	}
	defer response.Body.Close()
	body, err := readall.Limited(response.Body, maxNodeBodyBytes)
	if err != nil {
		return decoded, err
	}
	if response.StatusCode != http.StatusOK {
		return decoded, refusalError(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return decoded, err
	}
	if len(decoded.Addresses) == 0 {
		return decoded, fmt.Errorf("node %s returned no entry addresses", node)
	}
	return decoded, nil
}

// refusalError returns the error of an error response: the one in its body or, if there is
// none, a MayHaveRun error.
func refusalError(status int, body []byte) *verdict.Error {
	if parsed, ok := verdict.ParseBody(body); ok {
		return parsed
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "response with status %d has no error body with a verdict", status)
}
