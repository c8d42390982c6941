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

// heartbeatsOverhead is the encoded size of the tags and lengths of Heartbeats.
const heartbeatsOverhead = 4 * fieldOverhead

// evidenceListOverhead is the encoded size of the tags and lengths of an
// EvidenceDigest.
const evidenceListOverhead = 6 * fieldOverhead

// documentsHashOverhead is the encoded size of the hash of all versions.
const documentsHashOverhead = 9

// heartbeatShare is the part of a bounded digest's free bytes that heartbeats may
// take, in percent. The rest is left for evidence and demand.
const heartbeatShare = 70

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

// documents adds versions, the first one before the others in random order, unless
// the requester knows them by their hash.
func (d *digest) documents(versions []DocumentVersion, known uint64) {
	all := make([]*peerpb.DocumentVersion, len(versions))
	for i, v := range versions {
		all[i] = encodeVersion(v)
	}
	hash := versionsHash(all)
	if hash != known {
		d.someDocuments(versions)
	}
	if hash == known || len(d.response.Documents) == len(versions) {
		d.response.DocumentsHash = hash
		d.size += documentsHashOverhead
	}
}

// someDocuments adds as many versions as fit.
func (d *digest) someDocuments(versions []DocumentVersion) {
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

// heartbeats adds the freshest heartbeats, up to share of the remaining bytes in
// percent. Old heartbeats are left out first, because their receivers are likely
// to know newer ones.
func (d *digest) heartbeats(members []fleet.MemberView, share int, now time.Time) {
	room := len(members)
	if d.limit > 0 {
		room = min(room, max(0, d.limit-d.size-heartbeatsOverhead)*share/100/heartbeatOverhead)
	}
	h := &peerpb.Heartbeats{}
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b fleet.MemberView) int { return b.HeardAt.Compare(a.HeardAt) })
	for i := range members[:room] {
		appendHeartbeat(h, &members[i], now)
	}
	d.add(h, func() { d.response.Heartbeats = h })
}

// evidence adds evidence in random order, so that a bounded digest carries a
// fair sample.
func (d *digest) evidence(evidence []blackboard.Observation, now time.Time) {
	room := len(evidence)
	if d.limit > 0 {
		room = min(room, max(0, d.limit-d.size-evidenceListOverhead)/evidenceOverhead)
	}
	list := &peerpb.EvidenceDigest{}
	for _, i := range rand.Perm(len(evidence))[:room] {
		appendEvidence(list, &evidence[i], now)
	}
	if room > 0 {
		d.add(list, func() { d.response.EvidenceDigest = list })
	}
}
