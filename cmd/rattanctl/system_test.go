package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/operator"
	"github.com/rattanlanding/rattanlanding/release"
	"github.com/rattanlanding/rattanlanding/settings"
)

// fakePlatform implements the store, gate and publisher of a release.Applier: it keeps
// the configuration object in memory, accepts every note, and publishes accepted
// configurations on a board.
type fakePlatform struct {
	mu     sync.Mutex
	object object.Object
	board  *blackboard.Board
}

func (p *fakePlatform) MayAccept() error { return nil }

func (p *fakePlatform) Prepare(context.Context, fleet.Revision) error { return nil }

func (p *fakePlatform) Get(context.Context, object.Key) (object.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.object.Version == 0 {
		return object.Object{}, object.ErrNotFound
	}
	return p.object, nil
}

func (p *fakePlatform) Update(_ context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if expected != p.object.Version {
		return 0, object.ErrConflict
	}
	p.object = object.Object{Key: key, Version: expected + 1, Value: value}
	return p.object.Version, nil
}

func (p *fakePlatform) Publish(_ string, _ uint64, body []byte) {
	var c fleet.Configuration
	if json.Unmarshal(body, &c) == nil {
		p.board.Configuration.Publish(&c)
	}
}

var _ = It("applies an example through the operators' interface", func() {
	// Guards against differences between the command line and the nodes in paths,
	// authentication or the format of responses.
	p := &fakePlatform{board: &blackboard.Board{}}
	sum := sha256.Sum256([]byte("secret"))
	handler, err := operator.NewHandler(operator.Config{
		Node: "n1", Board: p.board,
		Notes: release.NewApplier(release.Config{Store: p, Gate: p, Publisher: p}),
		Keys:  []settings.OperatorKey{{Name: "ops", KeySHA256: hex.EncodeToString(sum[:])}},
	})
	Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	GinkgoT().Setenv("RATTANCTL_KEY", "secret")
	address := strings.TrimPrefix(server.URL, "http://")
	ctl := func(args ...string) string {
		var out, errs bytes.Buffer
		code := run(context.Background(), append([]string{"--address", address}, args...), &out, &errs)
		Expect(code).To(Equal(exitOK), errs.String())
		return out.String()
	}
	file := filepath.Join("..", "..", "examples", "maracas-demo.json")
	Expect(ctl("diff", file)).To(ContainSubstring("added     groups/care-arima-1  service care-llm, size 3"))
	Expect(ctl("apply", file)).To(Equal("accepted as revision 1\n"))
	Expect(ctl("apply", file)).To(Equal("already accepted as revision 1\n"))
	Expect(ctl("status")).To(ContainSubstring("not placed"))
	Expect(ctl("history")).To(ContainSubstring("maracas-demo-1"))
	Expect(ctl("state", address)).To(ContainSubstring(`"blackboard"`))
	Expect(ctl("--json", "history")).To(HavePrefix("{"))
})
