package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// fieldOverhead is the encoded size of a nested field's tag and length.
const fieldOverhead = 3

// digest fills a response up to a limit of encoded bytes; limit 0 means no
// limit.
type digest struct {
	response *peerpb.ExchangeResponse
	limit    int
	size     int
}

// newDigest starts with the fields that every response carries.
func newDigest(response *peerpb.ExchangeResponse, limit int) *digest {
	return &digest{response: response, limit: limit, size: proto.Size(response)}
}

// add calls put if m still fits.
func (d *digest) add(m proto.Message, put func()) {
	size := proto.Size(m) + fieldOverhead
	if d.limit > 0 && d.size+size > d.limit {
		return
	}
	d.size += size
	put()
}

// documents adds versions, the first one before the others in random order.
func (d *digest) documents(versions []DocumentVersion) {
	if d.limit > 0 && len(versions) > 1 {
		versions = append([]DocumentVersion(nil), versions...)
		rest := versions[1:]
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		// Documents take at most half of a bounded digest.
		half := &digest{response: d.response, limit: d.limit / 2, size: d.size}
		half.addVersions(versions)
		d.size = half.size
		return
	}
	d.addVersions(versions)
}

func (d *digest) addVersions(versions []DocumentVersion) {
	for _, v := range versions {
		m := encodeVersion(v)
		d.add(m, func() { d.response.Documents = append(d.response.Documents, m) })
	}
}

func (d *digest) losses(losses []blackboard.Loss, now time.Time) {
	for i := range losses {
		m := encodeLoss(&losses[i], now)
		d.add(m, func() { d.response.Losses = append(d.response.Losses, m) })
	}
}

func (d *digest) demand(node string, demand *blackboard.NodeDemand, now time.Time) {
	m := encodeDemand(node, demand, now)
	d.add(m, func() { d.response.Demand = append(d.response.Demand, m) })
}

// relayed adds members and evidence, to a bounded digest in a common random
// order, so that it carries a fair sample of both.
func (d *digest) relayed(members []fleet.MemberView, evidence []blackboard.Observation, now time.Time) {
	order := rand.Perm(len(members) + len(evidence))
	if d.limit == 0 {
		slices.Sort(order)
	}
	for _, i := range order {
		if i < len(members) {
			v := &members[i]
			m := encodeMember(&v.Member, v.State == fleet.NodeLeaving, encodeAge(v.HeardAt, now))
			d.add(m, func() { d.response.Members = append(d.response.Members, m) })
			continue
		}
		m := encodeEvidence(&evidence[i-len(members)], now)
		d.add(m, func() { d.response.Evidence = append(d.response.Evidence, m) })
	}
}
