package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
	"github.com/rattanlanding/rattanlanding/rendezvous"
)

const (
	// relayTimeout bounds a call to another node beside its wait.
	relayTimeout = 500 * time.Millisecond
	// relayStaleAfter is the silence of the store at the node that is followed from
	// which the store itself is asked: a watch without a change and the time of a
	// call.
	relayStaleAfter = watchWait + storeTimeout + 200*time.Millisecond
	// relayPause is how long the store is asked after a node failed.
	relayPause = 2 * time.Second
)

// relayedChanges are the changes that a node passes on.
type relayedChanges struct {
	Delta follow.Delta
	// SilentMs is the time since the store answered the node.
	SilentMs int64
}

// writeChanges answers another node that follows this node's copy.
func writeChanges(c *gin.Context, f *follow.Follower) {
	after, err := strconv.ParseUint(c.Query("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(c.Query("waitMs"))
	if err != nil || waitErr != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	delta, err := f.Since(c.Request.Context(), object.Version(after), time.Duration(waitMs)*time.Millisecond)
	if errors.Is(err, follow.ErrHistoryGone) {
		c.Status(http.StatusGone)
		return
	}
	if err != nil {
		// The other node is gone.
		return
	}
	data, err := msgpack.Marshal(relayedChanges{delta, f.SilentFor().Milliseconds()})
	if err != nil {
		c.Status(http.StatusInternalServerError)
		return
	}
	c.Data(http.StatusOK, "application/msgpack", data)
}

// relay is the source of the documents. One node of each failure domain watches the
// store; the others follow its copy, since every call to the store is paid for. A
// node whose guide fails or hears nothing asks the store itself.
type relay struct {
	store    *platform.Store
	settings Settings
	client   *http.Client
	// mesh is set once it exists; it is made of parts that need the documents.
	mesh atomic.Pointer[mesh.Mesh]
	// askStoreUntil is the end of the pause after a failure, in Unix nanoseconds.
	askStoreUntil atomic.Int64
}

var _ follow.Source = (*relay)(nil)

// guide returns the node whose copy is followed, or nil if the store is asked.
func (r *relay) guide() *mesh.State {
	nodes := r.mesh.Load()
	if nodes == nil || time.Now().UnixNano() < r.askStoreUntil.Load() {
		return nil
	}
	own := rendezvous.Score(r.settings.FailureDomain, r.settings.Node)
	var best *mesh.State
	for _, s := range nodes.View().Live {
		if s.FailureDomain != r.settings.FailureDomain || s.Leaving || !s.Serving {
			continue
		}
		if score := rendezvous.Score(r.settings.FailureDomain, s.Node); score > own {
			best, own = s, score
		}
	}
	return best
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
	return r.store.Changes(ctx, kind, cursor, wait)
}

// follow asks the guide for its changes.
func (r *relay) follow(ctx context.Context, guide *mesh.State, kind string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	path := pathInstances
	if kind == platform.ConfigurationKind {
		path = pathConfiguration
	}
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s%s?after=%d&waitMs=%d",
		guide.PeerAddress, path, pathChanges, cursor, wait.Milliseconds()), nil)
	if err != nil {
		return follow.Delta{}, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return follow.Delta{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return follow.Delta{}, fmt.Errorf("node %s answered %d", guide.Node, response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxDocument))
	if err != nil {
		return follow.Delta{}, err
	}
	var changes relayedChanges
	if err := msgpack.Unmarshal(data, &changes); err != nil {
		return follow.Delta{}, err
	}
	if changes.SilentMs > relayStaleAfter.Milliseconds() {
		return follow.Delta{}, fmt.Errorf("node %s has not heard the store for %d ms", guide.Node, changes.SilentMs)
	}
	return changes.Delta, nil
}
