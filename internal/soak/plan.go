package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault.
type kind string

// Kinds of faults.
const (
	nodeKill    kind = "node-kill"
	nodePause   kind = "node-pause"
	nodeStop    kind = "node-stop"
	nodeHangUp  kind = "node-hangup"
	allKill     kind = "all-kill"
	storeDown   kind = "store-down"
	storeForget kind = "store-forget"
	storeReset  kind = "store-reset"
	storeSilent kind = "store-silent"
	storeMute   kind = "store-mute"
	storeSlow   kind = "store-slow"
	engineCrash kind = "engine-crash"
	engineDrain kind = "engine-drain"
	engineReset kind = "engine-reset"
	engineMute  kind = "engine-mute"
	engineDeaf  kind = "engine-deaf"
	engineSlow  kind = "engine-slow"
	engineLost  kind = "engine-lost"
	ordersLate  kind = "orders-late"
	keyRevoked  kind = "key-revoked"
)

// weights tell how often each kind is drawn.
var weights = []struct {
	kind
	weight int
}{
	{nodeKill, 4}, {nodePause, 3}, {nodeStop, 3}, {nodeHangUp, 1}, {allKill, 1},
	{storeDown, 2}, {storeForget, 2}, {storeReset, 2}, {storeSilent, 2}, {storeMute, 1}, {storeSlow, 1},
	{engineCrash, 6}, {engineDrain, 2}, {engineReset, 2}, {engineMute, 2}, {engineDeaf, 1}, {engineSlow, 1}, {engineLost, 2}, {ordersLate, 5},
	{keyRevoked, 1},
}

// Times of a plan.
const (
	// shortest and longest bound the time of a fault.
	shortest, longest = 300 * time.Millisecond, 3 * time.Second
	// faultsPerSecond is the mean number of faults that begin in a second.
	faultsPerSecond = 1.2
	// calmTime is the end of a run without faults, in which the system recovers. It
	// is above the bounds for recovery on the users' sites.
	calmTime = 13 * time.Second
)

// fault is one entry of a plan.
type fault struct {
	kind
	at, lasts time.Duration
	// target is the number of a node or an engine.
	target int
}

func (f fault) String() string {
	return fmt.Sprintf("%.2fs %s %d for %.2fs", f.at.Seconds(), f.kind, f.target, f.lasts.Seconds())
}

// newPlan draws the faults of a run. All have ended before the calm time.
func newPlan(seed uint64, length time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	var plan []fault
	revoked := false
	for range int(length.Seconds() * faultsPerSecond) {
		f := fault{at: time.Duration(rng.Int64N(int64(length))), target: rng.IntN(1 << 16),
			lasts: shortest + time.Duration(rng.Int64N(int64(longest-shortest)))}
		f.lasts = max(min(f.lasts, length-f.at), shortest)
		draw := rng.IntN(total)
		for _, w := range weights {
			if draw -= w.weight; draw < 0 {
				f.kind = w.kind
				break
			}
		}
		if f.kind == keyRevoked && revoked {
			continue
		}
		revoked = revoked || f.kind == keyRevoked
		plan = append(plan, f)
	}
	slices.SortFunc(plan, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return plan
}
