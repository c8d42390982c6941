package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/quarantine"
)

// fakeObjects holds one object in a store that can be restored.
type fakeObjects struct {
	era     uint64
	current object.Object
}

func (o *fakeObjects) Era() uint64 { return o.era }

func (o *fakeObjects) Get(context.Context, object.Key) (object.Object, error) {
	if !o.current.Version.Exists() {
		version, err := object.NewVersion(o.era, 0)
		if err == nil {
			err = object.ErrNotFound
		}
		return object.Object{Version: version}, err
	}
	return o.current, nil
}

func (o *fakeObjects) Update(_ context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error) {
	if expected.Revision() != o.current.Version.Revision() {
		return 0, object.ErrConflict
	}
	version, err := object.NewVersion(o.era, expected.Revision()+1)
	o.current = object.Object{Key: key, Version: version, Value: value}
	return version, err
}

// Guards against quarantines that a restart of all nodes forgets because the store lost them
// when it was restored from an older copy.
func TestStoresQuarantinesAgainAfterARestore(t *testing.T) {
	g := NewWithT(t)
	ledger := quarantine.NewLedger(quarantine.Config{}, log.NewNopLogger(), metrics.NewRegistry())
	store := &fakeObjects{era: 1}
	k := &quarantineKeeper{ledger: ledger, key: quarantineKeys[quarantine.Parts], store: store, holds: func() bool { return true }, logger: log.NewNopLogger()}
	ctx := context.Background()
	g.Expect(k.update(ctx)).To(Succeed())
	ledger.Absorb(&quarantine.Observations{Notices: []quarantine.Notice{{Parts: []quarantine.Part{7}, Crashes: 6, Prompts: 3, Since: time.Now().UnixMilli(), RemainingMs: 60_000}}})
	g.Expect(k.update(ctx)).To(Succeed())
	g.Expect(store.current.Version.Exists()).To(BeTrue())

	store.era, store.current = 2, object.Object{}
	g.Expect(k.update(ctx)).To(Succeed())
	g.Expect(store.current.Version.Era()).To(BeEquivalentTo(2))
	stored, err := quarantine.Decode(store.current.Value, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored.Notices).To(HaveLen(1))
}

// Guards against a node that starts without the stored quarantines, and reads them again and
// again, because another writer left an odd item among them.
func TestAdoptsStoredQuarantinesBesideAnOddOne(t *testing.T) {
	g := NewWithT(t)
	now := time.Now().UnixMilli()
	store := &fakeObjects{era: 1, current: object.Object{Version: 1<<48 + 5, Value: fmt.Appendf(nil, `{"quarantines":[{"parts":"odd"},{"parts":["7"],"since":%d,"until":%d}]}`, now, now+60_000)}}
	holds := false
	k := &quarantineKeeper{ledger: quarantine.NewLedger(quarantine.Config{}, log.NewNopLogger(), metrics.NewRegistry()), store: store,
		holds: func() bool { return holds }, logger: log.NewNopLogger()}
	g.Expect(k.update(context.Background())).To(Succeed())
	g.Expect(k.ledger.Current()).To(HaveLen(1))
	holds = true
	g.Expect(k.update(context.Background())).To(Succeed())
	g.Expect(string(store.current.Value)).NotTo(ContainSubstring("odd"), "the holder removes it")
}
