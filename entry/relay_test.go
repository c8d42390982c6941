package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
)

// turnedAway is a store that at some time answers no more.
type turnedAway struct{ down, silent atomic.Bool }

func (t *turnedAway) List(context.Context, string) (object.Listing, error) {
	return object.Listing{Cursor: 5, Changed: true}, nil
}

func (t *turnedAway) Changes(ctx context.Context, _ string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) || t.silent.Load(); time.Sleep(10 * time.Millisecond) {
		if t.down.Load() || ctx.Err() != nil {
			return follow.Delta{}, object.ErrUnavailable
		}
	}
	return follow.Delta{Cursor: cursor}, nil
}

// Guards against a revoked key that stays in force because the node whose copy is
// followed is turned away by the store, at once or in silence (hunt-ccd7-31).
func TestRefusesFollowersOnceTheStoreIsLost(t *testing.T) {
	for name, fail := range map[string]func(*turnedAway){
		"reset":  func(s *turnedAway) { s.down.Store(true) },
		"silent": func(s *turnedAway) { s.silent.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := &turnedAway{}
			f := follow.New(follow.Config{Kind: platform.ConfigurationKind, Wait: watchWait}, store, log.NewNopLogger())
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { _ = f.Run(ctx); close(done) }()
			defer func() { cancel(); <-done }()
			d := &Documents{configurations: f, instances: f}
			server := httptest.NewServer(d.Handler())
			defer server.Close()
			guide := &mesh.Node{Name: "guide", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
			r := &relay{}
			time.Sleep(100 * time.Millisecond)
			delta, err := r.follow(ctx, guide, platform.ConfigurationKind, 5, 50*time.Millisecond)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(delta.Events).To(BeEmpty())
			fail(store)
			failed := time.Now()
			g.Eventually(func() error {
				_, err := r.follow(ctx, guide, platform.ConfigurationKind, 5, watchWait)
				return err
			}, 5*time.Second, time.Millisecond).ShouldNot(Succeed())
			// The change has to be fetched and applied within two seconds.
			g.Expect(time.Since(failed)).To(BeNumerically("<", 1600*time.Millisecond))
		})
	}
}
