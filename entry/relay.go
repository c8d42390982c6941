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
	// relayTimeout bounds a call to another node beside its wait. It leaves time to
	// ask the store within the same call.
	relayTimeout = 250 * time.Millisecond
	// relayCheck is the time between two looks at whether the store still answers this
	// node, while another one waits for changes.
	relayCheck = 100 * time.Millisecond
	// relayPause is how long a guide that failed isn't asked.
	relayPause = 2 * time.Second
	// maxGuides is the number of guides that one call asks.
	maxGuides = 3
	// storePausePerNode is the time between two calls to a failing store for each node
	// that comes before this one, maxStorePause the longest one.
	storePausePerNode = 100 * time.Millisecond
	maxStorePause     = 1500 * time.Millisecond
)

// writeChanges answers another node with the changes of this node's copy. To one that
// follows this copy it refuses as soon as the store doesn't answer this node, so that
// the other one asks the store itself.
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
			return sinceWhileReachable(ctx, f, cursor, wait)
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
	d.answers.write(c, answerKey{path: path, after: cursor, upTo: delta.Cursor}, delta)
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

// relay is the source of the documents. One node watches the store, since every call
// to it is paid for. The first node of each other failure domain follows its copy, and
// the rest follow the first one of their domain. A node whose guides fail, or aren't
// answered by the store, asks the store itself.
type relay struct {
	store    *platform.Store
	settings Settings
	logger   log.Logger
	// live returns the other nodes. It is set before the start, once the mesh exists,
	// which is made of parts that need the documents.
	live func() []*mesh.Node

	mu sync.Mutex
	// failed maps guides that failed to the time until which they aren't asked.
	failed map[string]time.Time
	// askStoreAt is the time before which the store isn't asked after a failure.
	askStoreAt time.Time
}

var _ follow.Source = (*relay)(nil)

// List implements follow.Source. A guide's copy is as good as the store's: a history
// that is lost to all nodes at once is then listed by one of them.
func (r *relay) List(ctx context.Context, kind string) (object.Listing, error) {
	usable, own := r.usable(r.guides(), time.Now())
	for _, guide := range usable {
		var s follow.Snapshot
		err := getFromPeer(ctx, guide.PeerAddress, documentPath(kind)+"?"+queryConfirmed+"=1", fetchTimeout, &s)
		if err == nil {
			return object.Listing{Cursor: s.Cursor, Changed: true, Objects: s.Objects}, nil
		}
		r.fail(guide, err, time.Now())
	}
	if !own || !r.mayAskStore(time.Now()) {
		return object.Listing{}, object.ErrUnavailable
	}
	return r.store.List(ctx, kind)
}

// Changes implements follow.Source.
func (r *relay) Changes(ctx context.Context, kind string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	guides := r.guides()
	usable, own := r.usable(guides, time.Now())
	for _, guide := range usable {
		delta, err := r.follow(ctx, guide, kind, cursor, wait)
		if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, follow.ErrHistoryGone) {
			return delta, err
		}
		r.fail(guide, err, time.Now())
		// The changes since the cursor are wanted at once; the next call waits.
		wait = 0
	}
	if !own || !r.mayAskStore(time.Now()) {
		return follow.Delta{}, object.ErrUnavailable
	}
	delta, err := r.store.Changes(ctx, kind, cursor, wait)
	if err != nil && ctx.Err() == nil && !errors.Is(err, follow.ErrHistoryGone) {
		r.storeFailed(len(guides), time.Now())
	}
	return delta, err
}

// guides returns the nodes whose copies this node may follow.
func (r *relay) guides() []*mesh.Node {
	return guidesOf(r.settings.identity(), r.live())
}

// documentPath returns the path of a kind's copies on the peer address.
func documentPath(kind string) string {
	if kind == platform.ConfigurationKind {
		return pathConfiguration
	}
	return pathInstances
}

// guidesOf returns the nodes whose copies a node may follow, the first choice first:
// those of its domain that come before it, or, for the first one of a domain, the
// first ones of other domains that come before it. It answers to the number of calls
// to the store and of followers at one node.
func guidesOf(own mesh.Node, live []*mesh.Node) []*mesh.Node {
	nodes := []*mesh.Node{&own}
	for _, n := range live {
		if n.Serving && !n.Leaving && n.Name != own.Name {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, mesh.CompareByCapacity)
	seen := map[string]bool{}
	var firsts, domain []*mesh.Node
	for _, n := range nodes {
		first := !seen[n.FailureDomain]
		seen[n.FailureDomain] = true
		switch {
		case n == &own && first:
			return firsts
		case n == &own:
			return domain
		case n.FailureDomain == own.FailureDomain:
			domain = append(domain, n)
		case first:
			firsts = append(firsts, n)
		}
	}
	return nil
}

// usable returns the guides to ask, and whether the store may be asked after them.
func (r *relay) usable(guides []*mesh.Node, now time.Time) (usable []*mesh.Node, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range guides {
		if now.Before(r.failed[g.Name]) {
			continue
		}
		if len(usable) == maxGuides {
			return usable, false
		}
		usable = append(usable, g)
	}
	return usable, true
}

// fail keeps a guide out for a while.
func (r *relay) fail(guide *mesh.Node, err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = map[string]time.Time{}
	}
	for name, until := range r.failed {
		if now.After(until) {
			delete(r.failed, name)
		}
	}
	r.failed[guide.Name] = now.Add(relayPause)
	_ = level.Info(r.logger).Log("msg", "copy of a node not followed", "peer", guide.Name, "err", err)
}

func (r *relay) mayAskStore(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.askStoreAt)
}

// storeFailed puts off the next call to a store that fails, the longer the more nodes
// come before this one: they ask, too, and are followed once one is answered.
func (r *relay) storeFailed(before int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askStoreAt = now.Add(min(time.Duration(before)*storePausePerNode, maxStorePause))
}

// follow asks the guide for its changes.
func (r *relay) follow(ctx context.Context, guide *mesh.Node, kind string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	return changesOf(ctx, guide, documentPath(kind), cursor, wait, "&"+queryConfirmed+"=1")
}

// changesOf asks a node for the changes of its copy.
func changesOf(ctx context.Context, n *mesh.Node, path string, cursor object.Version, wait time.Duration, query string) (follow.Delta, error) {
	path += fmt.Sprintf("%s?after=%d&waitMs=%d%s", pathChanges, cursor, wait.Milliseconds(), query)
	var delta follow.Delta
	err := getFromPeer(ctx, n.PeerAddress, path, wait+relayTimeout, &delta)
	var status *peerStatusError
	if errors.As(err, &status) && status.status == http.StatusGone {
		return delta, follow.ErrHistoryGone
	}
	return delta, err
}
