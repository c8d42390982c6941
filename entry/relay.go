package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
)

const (
	// relayTimeout limits a call to another node, in addition to the wait for changes. It
	// leaves time to call the store within the same call.
	relayTimeout = 250 * time.Millisecond
	// relayCheckInterval is the time between two checks whether the store still responds
	// to this node while another node waits for changes.
	relayCheckInterval = 100 * time.Millisecond
	// parentRetryDelay is how long a parent that failed isn't called.
	parentRetryDelay = 2 * time.Second
	// maxParents is the number of parents that are tried in one call.
	maxParents = 3
	// storeBackoffPerNode is the backoff after a failed call to the store for each node
	// that ranks before this one.
	storeBackoffPerNode = 100 * time.Millisecond
	// maxStoreBackoff is the longest backoff after a failed call to the store.
	maxStoreBackoff = 1500 * time.Millisecond
)

// writeChanges responds to another node with the changes of this node's copy. If that
// node follows the copy (queryConfirmed), the request fails as soon as the store doesn't
// respond to this node, so that the other one calls the store itself.
func (d *Documents) writeChanges(c *gin.Context, path string, f *follow.Follower) {
	after, err := strconv.ParseUint(c.Query("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(c.Query("waitMs"))
	if err != nil || waitErr != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	cursor, wait := object.Version(after), time.Duration(waitMs)*time.Millisecond
	since := f.Since
	if c.Query(queryConfirmed) != "" {
		since = func(ctx context.Context, cursor object.Version, wait time.Duration) (follow.Delta, error) {
			return changesWhileReachable(ctx, f, cursor, wait)
		}
	}
	delta, err := since(c.Request.Context(), cursor, wait)
	switch {
	case errors.Is(err, follow.ErrHistoryGone):
		c.Status(http.StatusGone)
		return
	case err != nil:
		c.Status(http.StatusServiceUnavailable)
		return
	}
	d.responses.write(c, responseKey{path: path, after: cursor, upTo: delta.Cursor}, delta)
}

// changesWhileReachable waits for changes. It fails as soon as the store doesn't
// respond to this node.
func changesWhileReachable(ctx context.Context, f *follow.Follower, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	end := time.Now().Add(wait)
	for {
		if f.Disconnected() {
			return follow.Delta{}, object.ErrUnavailable
		}
		remaining := time.Until(end)
		delta, err := f.Since(ctx, cursor, min(remaining, relayCheckInterval))
		if err != nil || len(delta.Events) > 0 || remaining <= relayCheckInterval {
			return delta, err
		}
	}
}

// relay is the follow.Source of the documents. It forms a tree of nodes, because every
// call to the store costs money: one node watches the store, the first node of each
// other failure domain follows that node's copy, and the remaining nodes follow the
// first node of their domain. The nodes that a node may follow are its parents. A node
// whose parents fail or can't reach the store calls the store itself.
type relay struct {
	store    *platform.Store
	settings Settings
	logger   log.Logger
	// liveNodes returns the other nodes that are alive. It is set before the start, after
	// the mesh was created, because the mesh depends on components that need the relay.
	liveNodes func() []*mesh.Node

	mu sync.Mutex
	// retryParentAt maps the names of parents that failed to the time before which they
	// aren't called.
	retryParentAt map[string]time.Time
	// retryStoreAt is the time before which the store isn't called after a failure.
	retryStoreAt time.Time
}

var _ follow.Source = (*relay)(nil)

// List implements follow.Source. It prefers a parent's copy to the store: if the change
// history is lost for all nodes at once, only one of them has to list from the store.
func (r *relay) List(ctx context.Context, kind string) (object.Listing, error) {
	usable, mayCallStore := r.usableParents(r.parents(), time.Now())
	for _, parent := range usable {
		var s follow.Snapshot
		err := getFromPeer(ctx, parent.PeerAddress, documentPath(kind)+"?"+queryConfirmed+"=1", fetchTimeout, &s)
		if err == nil {
			return object.Listing{Cursor: s.Cursor, Changed: true, Objects: s.Objects}, nil
		}
		r.markFailed(parent, err, time.Now())
	}
	if !mayCallStore || !r.storeBackoffOver(time.Now()) {
		return object.Listing{}, object.ErrUnavailable
	}
	return r.store.List(ctx, kind)
}

// Changes implements follow.Source.
func (r *relay) Changes(ctx context.Context, kind string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	parents := r.parents()
	usable, mayCallStore := r.usableParents(parents, time.Now())
	for _, parent := range usable {
		delta, err := r.changesFrom(ctx, parent, kind, cursor, wait)
		if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, follow.ErrHistoryGone) {
			return delta, err
		}
		r.markFailed(parent, err, time.Now())
		// After a failure, changes since the cursor are requested without waiting; the next
		// call waits.
		wait = 0
	}
	if !mayCallStore || !r.storeBackoffOver(time.Now()) {
		return follow.Delta{}, object.ErrUnavailable
	}
	delta, err := r.store.Changes(ctx, kind, cursor, wait)
	if err != nil && ctx.Err() == nil && !errors.Is(err, follow.ErrHistoryGone) {
		r.backOffStore(len(parents), time.Now())
	}
	return delta, err
}

// parents returns the nodes whose copies this node may follow, in order of preference.
func (r *relay) parents() []*mesh.Node {
	return parentsOf(r.settings.identity(), r.liveNodes())
}

// documentPath returns the path of a document on the peer address.
func documentPath(kind string) string {
	switch kind {
	case platform.ConfigurationKind:
		return pathConfiguration
	case platform.EvacuationKind:
		return pathEvacuations
	}
	return pathInstances
}

// parentsOf returns the nodes whose copies a node may follow, in order of preference.
// Nodes are ranked by mesh.CompareByCapacity. The parents of a node are those of its
// domain that rank before it; for the first node of a domain, they are the first nodes
// of other domains that rank before it. This limits both the number of calls to the
// store and the number of followers of one node.
func parentsOf(own mesh.Node, live []*mesh.Node) []*mesh.Node {
	nodes := []*mesh.Node{&own}
	for _, n := range live {
		if n.Serving && !n.Leaving && n.Name != own.Name {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, mesh.CompareByCapacity)
	seen := map[string]bool{}
	var firsts, sameDomain []*mesh.Node
	for _, n := range nodes {
		first := !seen[n.FailureDomain]
		seen[n.FailureDomain] = true
		switch {
		case n == &own && first:
			return firsts
		case n == &own:
			return sameDomain
		case n.FailureDomain == own.FailureDomain:
			sameDomain = append(sameDomain, n)
		case first:
			firsts = append(firsts, n)
		}
	}
	return nil
}

// usableParents returns the parents to call, and whether the store may be called after
// them: only if no parent is left out because of maxParents.
func (r *relay) usableParents(parents []*mesh.Node, now time.Time) (usable []*mesh.Node, mayCallStore bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range parents {
		if now.Before(r.retryParentAt[p.Name]) {
			continue
		}
		if len(usable) == maxParents {
			return usable, false
		}
		usable = append(usable, p)
	}
	return usable, true
}

// markFailed excludes a parent for parentRetryDelay.
func (r *relay) markFailed(parent *mesh.Node, err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retryParentAt == nil {
		r.retryParentAt = map[string]time.Time{}
	}
	for name, retryAt := range r.retryParentAt {
		if now.After(retryAt) {
			delete(r.retryParentAt, name)
		}
	}
	r.retryParentAt[parent.Name] = now.Add(parentRetryDelay)
	_ = level.Info(r.logger).Log("msg", "parent node failed, using others until it is retried", "peer", parent.Name, "err", err)
}

// storeBackoffOver reports whether the store may be called again after a failure.
func (r *relay) storeBackoffOver(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.retryStoreAt)
}

// backOffStore delays the next call to the store after a failure. The delay grows with
// the number of preceding nodes: they also call the store, and this node follows them
// once one succeeds.
func (r *relay) backOffStore(preceding int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryStoreAt = now.Add(min(time.Duration(preceding)*storeBackoffPerNode, maxStoreBackoff))
}

// changesFrom requests the changes of a parent's copy. The request fails if the parent
// can't reach the store.
func (r *relay) changesFrom(ctx context.Context, parent *mesh.Node, kind string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	return fetchChanges(ctx, parent, documentPath(kind), cursor, wait, "&"+queryConfirmed+"=1")
}

// fetchChanges requests the changes of a node's copy. It returns follow.ErrHistoryGone if
// the node no longer has the changes since cursor.
func fetchChanges(ctx context.Context, n *mesh.Node, path string, cursor object.Version, wait time.Duration, query string) (follow.Delta, error) {
	path += fmt.Sprintf("%s?after=%d&waitMs=%d%s", pathChanges, cursor, wait.Milliseconds(), query)
	var delta follow.Delta
	err := getFromPeer(ctx, n.PeerAddress, path, wait+relayTimeout, &delta)
	var status *peerStatusError
	if errors.As(err, &status) && status.status == http.StatusGone {
		return delta, follow.ErrHistoryGone
	}
	return delta, err
}
