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
	// catchUpInterval is the time between two looks at what other nodes hold.
	catchUpInterval = 200 * time.Millisecond
	// silenceLimit is how long the store may say nothing, while other nodes hold
	// newer documents, before these are taken from a node.
	silenceLimit = 1200 * time.Millisecond
	// fetchTimeout bounds one request to a node.
	fetchTimeout = 700 * time.Millisecond
	// maxDocument bounds a document in bytes.
	maxDocument = 64 << 20
)

// Paths of the documents on the peer address.
const (
	pathConfiguration = "/documents/configuration"
	pathInstances     = "/documents/instances"
	// pathChanges is added for the changes after a cursor.
	pathChanges = "/changes"
	// queryConfirmed asks for a document, or changes, only if the store answers the
	// node.
	queryConfirmed = "confirmed"
)

// Documents gives other nodes this node's copies, and takes newer ones from them
// while the store can't be reached.
type Documents struct {
	configurations *follow.Follower
	instances      *follow.Follower
	world          *World
	mesh           *mesh.Mesh
	failureDomain  string
	answers        encodedAnswers
	logger         log.Logger
}

// Handler answers other nodes.
func (d *Documents) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	for path, f := range map[string]*follow.Follower{pathConfiguration: d.configurations, pathInstances: d.instances} {
		router.GET(path, func(c *gin.Context) { d.writeSnapshot(c, path, f) })
		router.GET(path+pathChanges, func(c *gin.Context) { d.writeChanges(c, path, f) })
	}
	return router
}

func (d *Documents) writeSnapshot(c *gin.Context, path string, f *follow.Follower) {
	s := f.Current.Load()
	if s == nil {
		c.Status(http.StatusNotFound)
		return
	}
	if c.Query(queryConfirmed) != "" && f.Lost() {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	d.answers.write(c, answerKey{path: path, whole: true, upTo: s.Cursor}, s)
}

// Run catches up with other nodes until ctx ends.
func (d *Documents) Run(ctx context.Context) error {
	for wait.For(ctx, catchUpInterval) {
		d.catchUp(ctx)
	}
	return nil
}

// catchUp takes documents from a node with newer ones.
func (d *Documents) catchUp(ctx context.Context) {
	view := d.mesh.View()
	if isCutOff(d.configurations) {
		var version uint64
		if c := d.world.Configuration.Load(); c != nil {
			version = c.Version
		}
		from := newer(view, d.failureDomain, version, func(n *mesh.Node) uint64 { return n.ConfigurationVersion })
		d.fetch(ctx, from, pathConfiguration, d.configurations)
	}
	if isCutOff(d.instances) {
		from := newer(view, d.failureDomain, d.listCursor(), func(n *mesh.Node) object.Version { return n.ListCursor })
		d.fetch(ctx, from, pathInstances, d.instances)
	}
}

// isCutOff reports whether a copy may be out of date.
func isCutOff(f *follow.Follower) bool { return f.Lost() || f.SilentFor() > silenceLimit }

// listCursor returns the revision of the newest change of the list known here.
func (d *Documents) listCursor() object.Version {
	if s := d.instances.Current.Load(); s != nil {
		return s.Cursor
	}
	return 0
}

// newer draws a node with a value above own, one of the failure domain if there is any,
// or returns nil. All nodes that are behind would ask the newest one.
func newer[T cmp.Ordered](view *mesh.View, domain string, own T, value func(*mesh.Node) T) *mesh.Node {
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

// fetch takes the changes of a document from a node, or all of it if that node doesn't
// know what changed since.
func (d *Documents) fetch(ctx context.Context, from *mesh.Node, path string, f *follow.Follower) {
	if from == nil {
		return
	}
	cursor := f.Cursor()
	delta, err := changesOf(ctx, from, path, cursor, 0, "")
	if err == nil {
		if f.Apply(cursor, delta) {
			_ = level.Info(d.logger).Log("msg", "changes taken from a node", "peer", from.Name, "path", path, "cursor", delta.Cursor)
		}
		return
	}
	if !errors.Is(err, follow.ErrHistoryGone) {
		_ = level.Warn(d.logger).Log("msg", "changes not taken from a node", "peer", from.Name, "path", path, "err", err)
		return
	}
	var s follow.Snapshot
	if err := getFromPeer(ctx, from.PeerAddress, path, fetchTimeout, &s); err != nil {
		_ = level.Warn(d.logger).Log("msg", "document not taken from a node", "peer", from.Name, "path", path, "err", err)
		return
	}
	f.Adopt(s)
	_ = level.Info(d.logger).Log("msg", "document taken from a node", "peer", from.Name, "path", path, "cursor", s.Cursor)
}
