package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/object"
)

// Client reads the instance list from the platform. It is safe for concurrent
// use.
type Client struct{ endpoints *object.FailoverClient }

// NewClient returns a Client for the platform's endpoints in cfg.
func NewClient(cfg object.ClientConfig) *Client {
	return &Client{object.NewFailoverClient(cfg)}
}

// Close closes idle connections.
func (c *Client) Close() { c.endpoints.Close() }

// Instances waits, at most for wait, until the list's version differs from after
// (a long poll), and returns the whole list. It returns ok=false if the list is
// unchanged. Its errors wrap object.ErrUnavailable.
func (c *Client) Instances(ctx context.Context, after uint64, wait time.Duration) (list fleet.InstanceList, ok bool, err error) {
	response, err := c.endpoints.Do(ctx, object.Request{
		Op: "instances", Method: http.MethodGet, Wait: wait,
		Path: fmt.Sprintf("/instances?after=%d&timeoutMs=%d", after, wait.Milliseconds()),
	})
	switch {
	case err != nil:
		return list, false, fmt.Errorf("instance list: %w", err)
	case response.Status == http.StatusNotModified:
		return list, false, nil
	case response.Status != http.StatusOK:
		return list, false, fmt.Errorf("instance list: %w: platform answered %d", object.ErrUnavailable, response.Status)
	}
	if err := json.Unmarshal(response.Body, &list); err != nil {
		return fleet.InstanceList{}, false, fmt.Errorf("instance list: %w: %w", object.ErrUnavailable, err)
	}
	return list, list.Version != after, nil
}
