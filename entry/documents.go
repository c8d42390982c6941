package entry

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/object"
)

const (
	// catchUpInterval is the time between two comparisons with the versions that other
	// nodes hold.
	catchUpInterval = 200 * time.Millisecond
	// storeSilenceTimeout is how long the store may leave a follower without a response
	// before newer documents are fetched from another node.
	storeSilenceTimeout = 1200 * time.Millisecond
	// maxLag is how long other nodes may hold a newer version of a document before it is
	// fetched from one of them. It exceeds the time in which a change passes through all
	// nodes that follow each other.
	maxLag = 600 * time.Millisecond
	// fetchTimeout limits one request for a whole document to another node.
	fetchTimeout = 700 * time.Millisecond
	// maxDocumentBytes limits a response with a document.
	maxDocumentBytes = 64 << 20
)

// Paths and query parameters of the documents on the peer address.
const (
	// pathConfiguration is the path of the configuration.
	pathConfiguration = "/documents/configuration"
	// pathInForce is the path of the configuration that is in force at a node, which may be
	// newer than its copy of the store's.
	pathInForce = "/documents/configuration/in-force"
	// pathInstances is the path of the instance list.
	pathInstances = "/documents/instances"
	// pathEvacuations is the path of the evacuations.
	pathEvacuations = "/documents/evacuations"
	// pathChanges is appended to a document's path for the changes after a cursor.
	pathChanges = "/changes"
	// queryConfirmed is the query parameter that requests a document or its changes
	// only if the store is reachable from the node.
	queryConfirmed = "confirmed"
)

// Documents serves this node's copies of the platform's documents to other nodes, and
// fetches newer ones from them while the store is unreachable, or if the nodes whose
// copies this node follows are behind.
type Documents struct {
	configurations *follow.Follower
	instances      *follow.Follower
	// evacuations is nil if there are none in the deployment.
	evacuations   *follow.Follower
	platformState *PlatformState
	// view returns what this node knows of the other nodes.
	view          func() *mesh.View
	failureDomain string
	responses     responseCache
	logger        log.Logger

	// configurationLag, instancesLag and evacuationsLag are used by the goroutine of Run only.
	configurationLag lag[uint64]
	instancesLag     lag[object.Version]
	evacuationsLag   lag[object.Version]
}

// Handler returns the HTTP handler for requests of other nodes.
func (d *Documents) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	for path, f := range map[string]*follow.Follower{pathConfiguration: d.configurations, pathInstances: d.instances, pathEvacuations: d.evacuations} {
		if f == nil {
			continue
		}
		router.GET(path, func(c *gin.Context) { d.writeSnapshot(c, path, f) })
		router.GET(path+pathChanges, func(c *gin.Context) { d.writeChanges(c, path, f) })
	}
	router.GET(pathInForce, d.writeInForce)
	return router
}

// writeInForce responds with the configuration that is in force at this node.
func (d *Documents) writeInForce(c *gin.Context) {
	document := d.platformState.inForce.Load()
	if document == nil {
		c.Status(http.StatusNotFound)
		return
	}
	d.responses.write(c, responseKey{path: pathInForce, upTo: object.Version(document.Version)}, document)
}

func (d *Documents) writeSnapshot(c *gin.Context, path string, f *follow.Follower) {
	s := f.Current.Load()
	if s == nil {
		c.Status(http.StatusNotFound)
		return
	}
	if c.Query(queryConfirmed) != "" && f.Disconnected() {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	d.responses.write(c, responseKey{path: path, snapshot: true, upTo: s.Cursor}, s)
}

// Run catches up with other nodes until ctx is cancelled.
func (d *Documents) Run(ctx context.Context) error {
	for wait.For(ctx, catchUpInterval) {
		d.catchUp(ctx)
	}
	return nil
}

// catchUp fetches documents that may be out of date from nodes that hold newer ones.
func (d *Documents) catchUp(ctx context.Context) {
	view, now := d.view(), time.Now()
	var version uint64
	if c := d.platformState.Configuration.Load(); c != nil {
		version = c.Version
	}
	ofConfiguration := func(n *mesh.Node) uint64 { return n.ConfigurationVersion }
	if d.configurationLag.exceeded(version, newest(view, ofConfiguration), now) || mayBeStale(d.configurations) {
		d.fetchConfiguration(ctx, pickNewer(view, d.failureDomain, version, ofConfiguration), version)
	}
	cursor := d.listCursor()
	ofInstances := func(n *mesh.Node) object.Version { return n.ListCursor }
	if d.instancesLag.exceeded(cursor, newest(view, ofInstances), now) || mayBeStale(d.instances) {
		d.fetch(ctx, pickNewer(view, d.failureDomain, cursor, ofInstances), pathInstances, d.instances)
	}
	if d.evacuations != nil {
		d.catchUpEvacuations(ctx, view, now)
	}
}

// catchUpEvacuations fetches the evacuations if another node has newer ones. Nodes that never
// had any tell no version; a node without a copy takes that of any node that serves.
func (d *Documents) catchUpEvacuations(ctx context.Context, view *mesh.View, now time.Time) {
	cursor := d.evacuations.Cursor()
	ofEvacuations := func(n *mesh.Node) object.Version { return n.EvacuationCursor }
	if !d.evacuationsLag.exceeded(cursor, newest(view, ofEvacuations), now) && !mayBeStale(d.evacuations) {
		return
	}
	from := pickNewer(view, d.failureDomain, cursor, ofEvacuations)
	if from == nil && d.evacuations.Current.Load() == nil {
		from = pickNewer(view, d.failureDomain, "", func(n *mesh.Node) string {
			if n.Serving {
				return n.Name
			}
			return ""
		})
	}
	d.fetch(ctx, from, pathEvacuations, d.evacuations)
}

// lag measures for how long other nodes have held a newer version than this node.
type lag[T cmp.Ordered] struct {
	// version is the newer version that was seen first, at the time since; the zero value
	// if this node has caught up with it.
	version T
	since   time.Time
}

// exceeded reports whether this node hasn't caught up within maxLag with a version that
// other nodes hold. newest is the newest version that they hold now.
func (l *lag[T]) exceeded(own, newest T, now time.Time) bool {
	if l.version > own {
		return now.Sub(l.since) >= maxLag
	}
	*l = lag[T]{}
	if newest > own {
		*l = lag[T]{newest, now}
	}
	return false
}

// newest returns the largest version of the live nodes, or the zero value.
func newest[T cmp.Ordered](view *mesh.View, version func(*mesh.Node) T) (largest T) {
	for _, n := range view.Live {
		largest = max(largest, version(n))
	}
	return largest
}

// mayBeStale reports whether a copy may be out of date because the store doesn't
// respond.
func mayBeStale(f *follow.Follower) bool {
	return f.Disconnected() || f.TimeSinceContact() > storeSilenceTimeout
}

// listCursor returns the version of this node's copy of the instance list.
func (d *Documents) listCursor() object.Version {
	if s := d.instances.Current.Load(); s != nil {
		return s.Cursor
	}
	return 0
}

// pickNewer returns a random node with a value above own, preferably in the failure
// domain, or nil. The choice is random because otherwise all nodes that are behind
// would send their requests to the newest one.
func pickNewer[T cmp.Ordered](view *mesh.View, domain string, own T, value func(*mesh.Node) T) *mesh.Node {
	var near, far []*mesh.Node
	for _, n := range view.Live {
		switch {
		case value(n) <= own:
		case n.FailureDomain == domain:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[rand.IntN(len(near))]
}

// fetchConfiguration adopts the configuration that is in force at a node, if it is newer than
// the given version.
func (d *Documents) fetchConfiguration(ctx context.Context, from *mesh.Node, version uint64) {
	if from == nil {
		return
	}
	var document configurationDocument
	if err := getFromPeer(ctx, from.PeerAddress, pathInForce, fetchTimeout, &document); err != nil {
		_ = level.Warn(d.logger).Log("msg", "fetching a document from another node failed", "peer", from.Name, "path", pathInForce, "err", err)
		return
	}
	if document.Version > version {
		d.platformState.Adopt(document.Value, from.Name)
	}
}

// fetch fetches the changes of a document from a node, or the whole document if that
// node no longer has the changes since this node's version.
func (d *Documents) fetch(ctx context.Context, from *mesh.Node, path string, f *follow.Follower) {
	if from == nil {
		return
	}
	cursor := f.Cursor()
	delta, err := fetchChanges(ctx, from, path, cursor, 0, "")
	if err == nil {
		if f.Apply(cursor, delta) {
			_ = level.Info(d.logger).Log("msg", "changes fetched from another node", "peer", from.Name, "path", path, "cursor", delta.Cursor)
		}
		return
	}
	if !errors.Is(err, follow.ErrHistoryGone) {
		_ = level.Warn(d.logger).Log("msg", "fetching changes from another node failed", "peer", from.Name, "path", path, "err", err)
		return
	}
	var s follow.Snapshot
	if err := getFromPeer(ctx, from.PeerAddress, path, fetchTimeout, &s); err != nil {
		_ = level.Warn(d.logger).Log("msg", "fetching a document from another node failed", "peer", from.Name, "path", path, "err", err)
		return
	}
	f.Replace(s)
	_ = level.Info(d.logger).Log("msg", "document fetched from another node", "peer", from.Name, "path", path, "cursor", s.Cursor)
}
