package entry

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/quarantine"
)

// quarantineInterval is the time between two checks whether the stored quarantines are up
// to date, and between two attempts to read them.
const quarantineInterval = 500 * time.Millisecond

// quarantineKeys are the objects that hold the quarantines by kind, from which nodes learn
// them if all have been restarted.
var quarantineKeys = [quarantine.KindCount]object.Key{
	quarantine.Parts:    {Kind: "quarantine", Name: "prompt-parts"},
	quarantine.Requests: {Kind: "quarantine", Name: "requests"},
}

// quarantineKeepers are the keepers by kind.
type quarantineKeepers [quarantine.KindCount]*quarantineKeeper

// run runs the keepers until ctx is cancelled.
func (k quarantineKeepers) run(ctx context.Context) error {
	var group errgroup.Group
	for _, keeper := range k {
		group.Go(func() error { return keeper.run(ctx) })
	}
	return group.Wait()
}

// objects reads and writes objects of the platform's store.
type objects interface {
	Get(ctx context.Context, key object.Key) (object.Object, error)
	Update(ctx context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error)
	// Era returns the latest known era of the store.
	Era() uint64
}

// quarantineKeeper reads the stored quarantines of a kind when the node starts. The holder of the
// lease for forming groups keeps them up to date, so that one node writes.
type quarantineKeeper struct {
	ledger *quarantine.Ledger
	key    object.Key
	store  objects
	holds  func() bool
	logger log.Logger

	// stored are the quarantines in the store and version is their version. known is
	// false until they have been read, and after a write whose outcome is unknown.
	stored  *quarantine.Observations
	version object.Version
	known   bool
	// era is the era of the store in which they were read.
	era uint64
}

// run reads the stored quarantines and keeps them up to date until ctx is cancelled.
func (k *quarantineKeeper) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.update(ctx); err != nil && ctx.Err() == nil {
			_ = level.Warn(k.logger).Log("msg", "stored quarantines not read or updated; trying again", "err", err)
		}
		wait.For(ctx, quarantineInterval)
	}
	return nil
}

// update reads the stored quarantines if they aren't known, and writes them if this node
// holds the lease and they have changed.
func (k *quarantineKeeper) update(ctx context.Context) error {
	if !k.known || (k.holds() && k.era != k.store.Era()) {
		if err := k.read(ctx); err != nil {
			return err
		}
	}
	current := k.ledger.Current()
	if !k.holds() || quarantine.SameParts(current, k.stored) {
		return nil
	}
	value, err := quarantine.Encode(current)
	if err != nil {
		return err
	}
	if k.version, err = k.store.Update(ctx, k.key, k.version, value); err != nil {
		k.known = false
		return err
	}
	k.stored, err = quarantine.Decode(value, time.Now())
	return err
}

// read reads the stored quarantines and adopts them. Those that can't be decoded are removed
// by the next write.
func (k *quarantineKeeper) read(ctx context.Context) error {
	stored, err := k.store.Get(ctx, k.key)
	if errors.Is(err, object.ErrNotFound) {
		k.known, k.stored, k.version, k.era = true, nil, 0, stored.Version.Era()
		return nil
	}
	if err != nil {
		return err
	}
	k.known, k.version, k.era = true, stored.Version, stored.Version.Era()
	decoded, err := quarantine.Decode(stored.Value, time.Now())
	if k.stored = decoded; err != nil {
		_ = level.Warn(k.logger).Log("msg", "stored quarantines that can't be decoded are left out", "err", err)
		k.stored = nil
	}
	if decoded != nil {
		k.ledger.Absorb(decoded)
	}
	return nil
}
