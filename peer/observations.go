package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanlanding/rattanlanding/internal/untrusted"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/quarantine"
)

// observationInterval is the shortest time between two extra rounds for observations. The
// loss of many engines lets requests at them appear in sound responses for some time.
const observationInterval = 200 * time.Millisecond

// announceObservations starts an extra round of exchanges with all members after this node
// observed something about requests that crash engines, until ctx ends: above FullMeshMembers
// a periodic round reaches some of them only.
func (n *Node) announceObservations(ctx context.Context) {
	if n.deps.Quarantine == nil {
		return
	}
	observed := n.deps.Quarantine.Observed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-observed:
		}
		observed = n.deps.Quarantine.Observed()
		n.triggerExtraRound()
		wait.For(ctx, observationInterval)
	}
}

// requestObservations returns what this node tells with a request: what it observed itself
// recently. The quarantines that it knows are in its responses.
func (n *Node) requestObservations() []byte {
	if n.deps.Quarantine == nil {
		return nil
	}
	reports := n.deps.Quarantine.Report()
	for _, r := range reports {
		if r != nil {
			r.Notices = nil
		}
	}
	return n.encodeObservations(reports)
}

// responseObservations returns what this node tells with a response, in at most limit bytes;
// 0 means no limit.
func (n *Node) responseObservations(limit int) []byte {
	if n.deps.Quarantine == nil {
		return nil
	}
	reports := n.deps.Quarantine.Report()
	for {
		encoded := n.encodeObservations(reports)
		if limit <= 0 || len(encoded) <= limit {
			return encoded
		}
		for k := range reports {
			reports[k] = shorten(reports[k])
		}
	}
}

// shorten returns the observations with half of the strikes, or without strikes with half of
// the quarantines and clearances. Strikes also travel in requests.
func shorten(o *quarantine.Observations) *quarantine.Observations {
	if o.Empty() {
		return nil
	}
	if len(o.Strikes) > 0 {
		return o.Shorten()
	}
	return &quarantine.Observations{Clearances: o.Clearances[:len(o.Clearances)/2], Notices: o.Notices[:len(o.Notices)/2]}
}

// encodeObservations encodes reports; nil if they are empty.
func (n *Node) encodeObservations(reports quarantine.Reports) []byte {
	empty := true
	for k, r := range reports {
		if r.Empty() {
			reports[k] = nil
			continue
		}
		empty = false
	}
	if empty {
		return nil
	}
	encoded, err := msgpack.Marshal(reports)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "observations of crashed engines not sent", "err", err)
		return nil
	}
	return encoded
}

// absorbObservations records what a peer observed. Invalid observations are ignored as a
// whole.
func (n *Node) absorbObservations(node string, encoded []byte) {
	if n.deps.Quarantine == nil || len(encoded) == 0 {
		return
	}
	reports, err := decodeObservations(encoded)
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "invalid observations of a peer ignored", "peer", node, "err", err)
		return
	}
	n.deps.Quarantine.Absorb(reports)
}

// decodeObservations decodes and validates reports. Its errors name the invalid field.
func decodeObservations(encoded []byte) (reports quarantine.Reports, err error) {
	if err := untrusted.Unmarshal(encoded, &reports); err != nil {
		return reports, fmt.Errorf("observations: %w", err)
	}
	for k, r := range reports {
		if err := r.Validate(); err != nil {
			return reports, fmt.Errorf("observations of kind %s: %w", quarantine.Kind(k), err)
		}
	}
	return reports, nil
}
