package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
)

const (
	// relayTimeout bounds a call to another node beside its wait. It leaves time to
	// ask the store within the same call.
	relayTimeout = 250 * time.Millisecond
	// relayCheck is the time between two looks at whether the store still answers this
	// node, while another one waits for changes.
	relayCheck = 100 * time.Millisecond
	// relayPause is how long the store is asked after a node failed.
	relayPause = 2 * time.Second
)

// writeChanges answers another node that follows this node's copy. It refuses as
// soon as the store doesn't answer this node, so that the other one asks the store
// itself.
func writeChanges(c *gin.Context, f *follow.Follower) {
	after, err := strconv.ParseUint(c.Query("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(c.Query("waitMs"))
	if err != nil || waitErr != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	delta, err := sinceWhileReachable(c.Request.Context(), f, object.Version(after), time.Duration(waitMs)*time.Millisecond)
	switch {
	case errors.Is(err, follow.ErrHistoryGone):
		c.Status(http.StatusGone)
		return
	case err != nil:
		c.Status(http.StatusServiceUnavailable)
		return
	}
	writeMsgpack(c, delta)
}

// sinceWhileReachable waits for changes until the store fails to answer this node.
func sinceWhileReachable(ctx context.Context, f *follow.Follower, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	end := time.Now().Add(wait)
	for {
		if f.Lost() {
			return follow.Delta{}, object.ErrUnavailable
		}
		left := time.Until(end)
		delta, err := f.Since(ctx, cursor, min(left, relayCheck))
		if err != nil || len(delta.Events) > 0 || left <= relayCheck {
			return delta, err
		}
	}
}

// relay is the source of the documents. One node of each failure domain watches the
// store; the others follow its copy, since every call to the store is paid for. A
// node whose guide fails, or isn't answered by the store, asks the store itself.
type relay struct {
	store    *platform.Store
	settings Settings
	// mesh is set once it exists; it is made of parts that need the documents.
	mesh atomic.Pointer[mesh.Mesh]
	// askStoreUntil is the end of the pause after a failure, in Unix nanoseconds.
	askStoreUntil atomic.Int64
}

var _ follow.Source = (*relay)(nil)

// guide returns the node whose copy is followed, or nil if the store is asked.
func (r *relay) guide() *mesh.Node {
	nodes := r.mesh.Load()
	if nodes == nil || time.Now().UnixNano() < r.askStoreUntil.Load() {
		return nil
	}
	own := r.settings.identity()
	if first := nodes.View().First(&own); first.Name != own.Name {
		return first
	}
	return nil
}

// List implements follow.Source. It always asks the store: a list is needed only at
// the start and after a lost history.
func (r *relay) List(ctx context.Context, kind string) (object.Listing, error) {
	return r.store.List(ctx, kind)
}

// Changes implements follow.Source.
func (r *relay) Changes(ctx context.Context, kind string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	guide := r.guide()
	if guide == nil {
		return r.store.Changes(ctx, kind, cursor, wait)
	}
	delta, err := r.follow(ctx, guide, kind, cursor, wait)
	if err == nil || errors.Is(err, context.Canceled) {
		return delta, err
	}
	r.askStoreUntil.Store(time.Now().Add(relayPause).UnixNano())
	// The changes since the cursor are wanted at once; the next call waits.
	return r.store.Changes(ctx, kind, cursor, 0)
}

// follow asks the guide for its changes.
func (r *relay) follow(ctx context.Context, guide *mesh.Node, kind string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	path := pathInstances
	if kind == platform.ConfigurationKind {
		path = pathConfiguration
	}
	path += fmt.Sprintf("%s?after=%d&waitMs=%d", pathChanges, cursor, wait.Milliseconds())
	var delta follow.Delta
	err := getFromPeer(ctx, guide.PeerAddress, path, wait+relayTimeout, &delta)
	return delta, err
}
