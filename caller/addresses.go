package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxErrorBytes bounds a body that is read whole.
const maxErrorBytes = 64 << 10

// addressAnswer is the answer to GET /v1/addresses.
type addressAnswer struct {
	Addresses []struct {
		Address       string `json:"address"`
		FailureDomain string `json:"failureDomain"`
	} `json:"addresses"`
	TTLMs int64 `json:"ttlMs"`
}

// Addresses returns the entry addresses to use now, best first. An answer is
// kept for its time to live; when no node answers, the last answer is used.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	kept, expires := c.addresses, c.expires
	c.mu.Unlock()
	if len(kept) > 0 && time.Now().Before(expires) {
		return kept, nil
	}
	var last error
	for _, node := range c.preferred(slices.Concat(kept, c.config.Seeds)) {
		answer, err := c.askAddresses(ctx, node)
		if err == nil {
			return c.keep(answer), nil
		}
		last = err
	}
	if len(kept) > 0 {
		return kept, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonNoServer, "no node answers for entry addresses").WithCause(last)
}

// preferred returns addresses with those that failed lately at the end.
func (c *Client) preferred(addresses []string) []string {
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

// markFailed notes that an address did not answer.
func (c *Client) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt[address] = time.Now()
}

// keep stores an address answer.
func (c *Client) keep(answer addressAnswer) []string {
	list := make([]string, 0, len(answer.Addresses))
	for _, a := range answer.Addresses {
		list = append(list, a.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = list
	c.expires = time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)
	return list
}

// askAddresses asks one node.
func (c *Client) askAddresses(ctx context.Context, node string) (addressAnswer, error) {
	var answer addressAnswer
	ctx, cancel := context.WithTimeout(ctx, c.config.AddressTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/v1/addresses?caller="+c.name, nil)
	if err != nil {
		return answer, err
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	response, err := c.http.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		return answer, refusal(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, err
	}
	if len(answer.Addresses) == 0 {
		return answer, fmt.Errorf("node %s named no address", node)
	}
	return answer, nil
}

// refusal returns the error of an answer with a status other than 2xx.
func refusal(status int, body []byte) *verdict.Error {
	if parsed, ok := verdict.ParseBody(body); ok {
		return parsed
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "status %d without a verdict", status)
}
