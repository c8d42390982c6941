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

// fieldHeaderBytes is the encoded size of a nested field's tag and length.
const fieldHeaderBytes = 3

// heartbeatsHeaderBytes is the encoded size of the tags and lengths of Heartbeats.
const heartbeatsHeaderBytes = 4 * fieldHeaderBytes

// evidenceDigestHeaderBytes is the encoded size of the tags and lengths of an
// EvidenceDigest.
const evidenceDigestHeaderBytes = 6 * fieldHeaderBytes

// documentsHashBytes is the encoded size of the hash of all versions.
const documentsHashBytes = 9

// heartbeatPercent is the percentage of a bounded response's remaining bytes that
// heartbeats may use. The rest is left for evidence and demand.
const heartbeatPercent = 70

// responseBuilder adds fields to a response up to a limit of its encoded size.
type responseBuilder struct {
	response *peerpb.ExchangeResponse
	// limit is the largest encoded size in bytes; 0 means no limit.
	limit int
	// size is the encoded size in bytes so far.
	size int
}

// newResponseBuilder returns a builder for a response that contains the fields of
// every response.
func newResponseBuilder(response *peerpb.ExchangeResponse, limit int) *responseBuilder {
	return &responseBuilder{response: response, limit: limit, size: proto.Size(response)}
}

// addField calls set, which stores m in the response, if m fits.
func (b *responseBuilder) addField(m proto.Message, set func()) {
	size := proto.Size(m) + fieldHeaderBytes
	if b.limit > 0 && b.size+size > b.limit {
		return
	}
	b.size += size
	set()
}

// addDocuments adds document versions unless knownHash shows that the requester has
// the same list. If not all of them fit, it adds the first one and a random selection
// of the others.
func (b *responseBuilder) addDocuments(versions []DocumentVersion, knownHash uint64) {
	all := make([]*peerpb.DocumentVersion, len(versions))
	for i, v := range versions {
		all[i] = encodeVersion(v)
	}
	hash := versionsHash(all)
	if hash != knownHash {
		b.addFittingDocuments(versions)
	}
	if hash == knownHash || len(b.response.Documents) == len(versions) {
		b.response.DocumentsHash = hash
		b.size += documentsHashBytes
	}
}

// addFittingDocuments adds the first version and then as many others as fit, in random
// order.
func (b *responseBuilder) addFittingDocuments(versions []DocumentVersion) {
	if b.limit > 0 && len(versions) > 1 {
		versions = append([]DocumentVersion(nil), versions...)
		rest := versions[1:]
		rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		// Documents take at most half of a bounded response.
		half := &responseBuilder{response: b.response, limit: b.limit / 2, size: b.size}
		half.addVersions(versions)
		b.size = half.size
		return
	}
	b.addVersions(versions)
}

// addVersions adds the versions that fit, in the given order.
func (b *responseBuilder) addVersions(versions []DocumentVersion) {
	for _, v := range versions {
		m := encodeVersion(v)
		b.addField(m, func() { b.response.Documents = append(b.response.Documents, m) })
	}
}

// addLosses adds the losses that fit, in the given order.
func (b *responseBuilder) addLosses(losses []blackboard.Loss, now time.Time) {
	for i := range losses {
		m := encodeLoss(&losses[i], now)
		b.addField(m, func() { b.response.Losses = append(b.response.Losses, m) })
	}
}

// minObservationBytes is the size from which a bounded response has room for a quarantine.
const minObservationBytes = 128

// addObservations adds observations, which encode returns in at most the given number of
// bytes; 0 means no limit. They take at most half of the remaining bytes.
func (b *responseBuilder) addObservations(encode func(limit int) []byte) {
	limit := 0
	if b.limit > 0 {
		if limit = (b.limit - b.size - fieldHeaderBytes) / 2; limit < minObservationBytes {
			return
		}
	}
	if b.response.Observations = encode(limit); len(b.response.Observations) > 0 {
		b.size += len(b.response.Observations) + fieldHeaderBytes
	}
}

// addDemand adds the demand at one node if it fits.
func (b *responseBuilder) addDemand(node string, demand *blackboard.NodeDemand, now time.Time) {
	m := encodeDemand(node, demand, now)
	b.addField(m, func() { b.response.Demand = append(b.response.Demand, m) })
}

// addHeartbeats adds the freshest heartbeats. They use at most the given percentage of
// the remaining bytes. Old heartbeats are omitted first, because the receiver is
// likely to have newer ones.
func (b *responseBuilder) addHeartbeats(members []fleet.MemberView, percent int, now time.Time) {
	count := len(members)
	if b.limit > 0 {
		count = min(count, max(0, b.limit-b.size-heartbeatsHeaderBytes)*percent/100/heartbeatEntryBytes)
	}
	h := &peerpb.Heartbeats{}
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b fleet.MemberView) int { return b.HeartbeatAt.Compare(a.HeartbeatAt) })
	for i := range members[:count] {
		appendHeartbeat(h, &members[i], now)
	}
	b.addField(h, func() { b.response.Heartbeats = h })
}

// addEvidence adds evidence in random order, so that a bounded response carries a
// uniform sample.
func (b *responseBuilder) addEvidence(evidence []blackboard.Observation, now time.Time) {
	count := len(evidence)
	if b.limit > 0 {
		count = min(count, max(0, b.limit-b.size-evidenceDigestHeaderBytes)/evidenceEntryBytes)
	}
	digest := &peerpb.EvidenceDigest{}
	for _, i := range rand.Perm(len(evidence))[:count] {
		appendEvidence(digest, &evidence[i], now)
	}
	if count > 0 {
		b.addField(digest, func() { b.response.EvidenceDigest = digest })
	}
}
