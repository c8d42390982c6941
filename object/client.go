package object

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Client is a Store over HTTP. See Endpoints for the handling of failures.
type Client struct{ endpoints *Endpoints }

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform.
func NewClient(cfg ClientConfig) *Client { return &Client{NewEndpoints(cfg)} }

// Close closes idle connections.
func (c *Client) Close() { c.endpoints.Close() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	answer, err := c.endpoints.Do(ctx, Call{Op: "get", Method: http.MethodGet, Path: path(key)})
	if err == nil {
		var o Object
		if o, err = objectOf(key, answer); err == nil {
			return o, nil
		}
	}
	return Object{}, &OpError{"get", key, err}
}

// GetIfNewer implements Store.
func (c *Client) GetIfNewer(ctx context.Context, key Key, known Version) (Object, bool, error) {
	return c.watch(ctx, "get_if_newer", key, known, 0)
}

// Watch implements Store. A deleted object is returned with version 0.
func (c *Client) Watch(ctx context.Context, key Key, known Version, wait time.Duration) (Object, bool, error) {
	return c.watch(ctx, "watch", key, known, wait)
}

func (c *Client) watch(ctx context.Context, op string, key Key, known Version, wait time.Duration) (Object, bool, error) {
	answer, err := c.endpoints.Do(ctx, Call{
		Op: op, Method: http.MethodGet, Path: path(key) + watchQuery(known, wait), Wait: wait,
	})
	switch {
	case err != nil:
		return Object{}, false, &OpError{op, key, err}
	case answer.Status == http.StatusNotModified:
		return Object{}, false, nil
	case answer.Status == http.StatusNotFound:
		return Object{Key: key}, known != 0, nil
	}
	o, err := objectOf(key, answer)
	if err != nil {
		return Object{}, false, &OpError{op, key, err}
	}
	return o, o.Version != known, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) ([]Object, error) {
	listing, err := c.list(ctx, kind, Call{Op: "list", Path: "/objects/" + url.PathEscape(kind)})
	return listing.Objects, err
}

// WatchKind implements Store.
func (c *Client) WatchKind(ctx context.Context, kind string, cursor Version, wait time.Duration) (Listing, error) {
	call := Call{Op: "watch_kind", Path: "/objects/" + url.PathEscape(kind) + watchQuery(cursor, wait), Wait: wait}
	listing, err := c.list(ctx, kind, call)
	if err == nil && !listing.Changed {
		listing.Cursor = cursor
	}
	return listing, err
}

func (c *Client) list(ctx context.Context, kind string, call Call) (Listing, error) {
	call.Method = http.MethodGet
	key := Key{Kind: kind}
	answer, err := c.endpoints.Do(ctx, call)
	if err != nil {
		return Listing{}, &OpError{call.Op, key, err}
	}
	if answer.Status == http.StatusNotModified {
		return Listing{}, nil
	}
	if answer.Status != http.StatusOK {
		return Listing{}, &OpError{call.Op, key, unexpected(answer)}
	}
	var body ListBody
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		return Listing{}, &OpError{call.Op, key, unavailable(err)}
	}
	listing := Listing{Cursor: body.Cursor, Changed: true, Objects: make([]Object, 0, len(body.Objects))}
	for _, item := range body.Objects {
		listing.Objects = append(listing.Objects, Object{
			Key: Key{Kind: kind, Name: item.Name}, Version: item.Version, Value: item.Value,
		})
	}
	return listing, nil
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, key Key, expected Version, value []byte) (Version, error) {
	if len(value) > MaxValueSize {
		return 0, &OpError{"update", key, ErrTooLarge}
	}
	header := http.Header{"If-Match": {expected.ETag()}}
	if expected == 0 {
		header = http.Header{"If-None-Match": {"*"}}
	}
	answer, err := c.endpoints.Do(ctx, Call{
		Op: "update", Method: http.MethodPut, Path: path(key), Header: header, Body: value,
	})
	if err == nil {
		err = writeError(answer)
	}
	var version Version
	if err == nil {
		if version, err = ParseETag(answer.Header.Get("ETag")); err != nil {
			err = fmt.Errorf("%w: %w", ErrAmbiguous, err)
		}
	}
	if err != nil {
		return 0, &OpError{"update", key, err}
	}
	return version, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key Key, expected Version) error {
	if expected == 0 {
		return &OpError{"delete", key, ErrNotFound}
	}
	answer, err := c.endpoints.Do(ctx, Call{
		Op: "delete", Method: http.MethodDelete, Path: path(key),
		Header: http.Header{"If-Match": {expected.ETag()}},
	})
	if err == nil {
		err = writeError(answer)
	}
	if err != nil {
		return &OpError{"delete", key, err}
	}
	return nil
}

// writeError maps the status of an answered write. A status that does not prove
// that the write was refused leaves the outcome unknown.
func writeError(answer Answer) error {
	switch answer.Status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusConflict, http.StatusPreconditionFailed, http.StatusNotFound:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	return fmt.Errorf("%w: platform answered %d", ErrAmbiguous, answer.Status)
}

func objectOf(key Key, answer Answer) (Object, error) {
	switch answer.Status {
	case http.StatusOK:
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	default:
		return Object{}, unexpected(answer)
	}
	version, err := ParseETag(answer.Header.Get("ETag"))
	if err != nil {
		return Object{}, unavailable(err)
	}
	return Object{Key: key, Version: version, Value: answer.Body}, nil
}

func unexpected(answer Answer) error {
	return unavailable(fmt.Errorf("platform answered %d", answer.Status))
}

func path(key Key) string {
	return "/objects/" + url.PathEscape(key.Kind) + "/" + url.PathEscape(key.Name)
}

func watchQuery(known Version, wait time.Duration) string {
	return "?watch=" + strconv.FormatUint(uint64(known), 10) +
		"&timeoutMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
}
