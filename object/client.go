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

// Client is a Store that uses the Object API over HTTP. See FailoverClient for the
// handling of failures.
type Client struct{ platform *FailoverClient }

var _ Store = (*Client)(nil)

// NewClient returns a client for the configured platform.
func NewClient(config ClientConfig) *Client { return &Client{NewFailoverClient(config)} }

// Close closes idle connections.
func (c *Client) Close() { c.platform.Close() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	response, err := c.platform.Do(ctx, Request{Op: "get", Method: http.MethodGet, Path: objectPath(key)})
	if err == nil {
		var o Object
		if o, err = decodeObject(key, response); err == nil {
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

// watch returns the object if its version differs from known, and waits up to wait for
// that. op names the operation in metrics and errors.
func (c *Client) watch(ctx context.Context, op string, key Key, known Version, wait time.Duration) (Object, bool, error) {
	response, err := c.platform.Do(ctx, Request{
		Op: op, Method: http.MethodGet, Path: objectPath(key) + watchQuery(known, wait), Wait: wait,
	})
	switch {
	case err != nil:
		return Object{}, false, &OpError{op, key, err}
	case response.Status == http.StatusNotModified:
		return Object{}, false, nil
	case response.Status == http.StatusNotFound:
		return Object{Key: key}, known != 0, nil
	}
	o, err := decodeObject(key, response)
	if err != nil {
		return Object{}, false, &OpError{op, key, err}
	}
	return o, o.Version != known, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) ([]Object, error) {
	listing, err := c.list(ctx, kind, Request{Op: "list", Path: "/objects/" + url.PathEscape(kind)})
	return listing.Objects, err
}

// WatchKind implements Store.
func (c *Client) WatchKind(ctx context.Context, kind string, cursor Version, wait time.Duration) (Listing, error) {
	request := Request{Op: "watch_kind", Path: "/objects/" + url.PathEscape(kind) + watchQuery(cursor, wait), Wait: wait}
	listing, err := c.list(ctx, kind, request)
	if err == nil && !listing.Changed {
		listing.Cursor = cursor
	}
	return listing, err
}

// list sends a request whose response is a ListBody or, for a watch that ended without a
// change, 304.
func (c *Client) list(ctx context.Context, kind string, request Request) (Listing, error) {
	request.Method = http.MethodGet
	key := Key{Kind: kind}
	response, err := c.platform.Do(ctx, request)
	if err != nil {
		return Listing{}, &OpError{request.Op, key, err}
	}
	if response.Status == http.StatusNotModified {
		return Listing{}, nil
	}
	if response.Status != http.StatusOK {
		return Listing{}, &OpError{request.Op, key, unexpectedStatusError(response)}
	}
	var body ListBody
	if err := json.Unmarshal(response.Body, &body); err != nil {
		return Listing{}, &OpError{request.Op, key, unavailableError(err)}
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
	response, err := c.platform.Do(ctx, Request{
		Op: "update", Method: http.MethodPut, Path: objectPath(key), Header: header, Body: value,
	})
	if err == nil {
		err = writeError(response)
	}
	var version Version
	if err == nil {
		if version, err = ParseETag(response.Header.Get("ETag")); err != nil {
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
	response, err := c.platform.Do(ctx, Request{
		Op: "delete", Method: http.MethodDelete, Path: objectPath(key),
		Header: http.Header{"If-Match": {expected.ETag()}},
	})
	if err == nil {
		err = writeError(response)
	}
	if err != nil {
		return &OpError{"delete", key, err}
	}
	return nil
}

// writeError returns the error of a write that got a response, by its status. A status
// that does not prove that the write was refused leaves the outcome unknown.
func writeError(response Response) error {
	switch response.Status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusConflict, http.StatusPreconditionFailed, http.StatusNotFound:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	return fmt.Errorf("%w: platform answered %d", ErrAmbiguous, response.Status)
}

// decodeObject returns the object that the response to a read carries.
func decodeObject(key Key, response Response) (Object, error) {
	switch response.Status {
	case http.StatusOK:
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	default:
		return Object{}, unexpectedStatusError(response)
	}
	version, err := ParseETag(response.Header.Get("ETag"))
	if err != nil {
		return Object{}, unavailableError(err)
	}
	return Object{Key: key, Version: version, Value: response.Body}, nil
}

// unexpectedStatusError is the error of a read whose response has an unexpected status.
func unexpectedStatusError(response Response) error {
	return unavailableError(fmt.Errorf("platform answered %d", response.Status))
}

// objectPath returns the URL path of an object.
func objectPath(key Key) string {
	return "/objects/" + url.PathEscape(key.Kind) + "/" + url.PathEscape(key.Name)
}

// watchQuery returns the query that turns a read into a watch for changes after known.
func watchQuery(known Version, wait time.Duration) string {
	return "?watch=" + strconv.FormatUint(uint64(known), 10) +
		"&timeoutMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
}
