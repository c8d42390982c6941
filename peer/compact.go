package peer

import (
	"encoding/binary"
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// errUnknownBase means that a response refers to one that is not held here.
var errUnknownBase = errors.New("response refers to an unknown one")

// split takes the part that changes in every round out of a response.
func split(r *peerpb.ExchangeResponse) *peerpb.Changes {
	c := &peerpb.Changes{}
	for _, m := range r.GetMembers() {
		c.MemberCounters = append(c.MemberCounters, m.GetCounter())
		c.MemberAgesMs = append(c.MemberAgesMs, m.GetAgeMs())
		m.Counter, m.AgeMs = 0, 0
	}
	for _, e := range r.GetEvidence() {
		c.EvidenceAgesMs = append(c.EvidenceAgesMs, e.GetAgeMs())
		c.Running = append(c.Running, e.GetRunning())
		c.QueuedPromptTokens = append(c.QueuedPromptTokens, e.GetQueuedPromptTokens())
		c.FreeKvTokens = append(c.FreeKvTokens, e.GetFreeKvTokens())
		e.AgeMs, e.Running, e.QueuedPromptTokens, e.FreeKvTokens = 0, 0, 0, 0
	}
	return c
}

// join is the reverse of split. It fails if the lengths do not match.
func join(r *peerpb.ExchangeResponse, c *peerpb.Changes) error {
	members, evidence := len(r.GetMembers()), len(r.GetEvidence())
	if len(c.GetMemberCounters()) != members || len(c.GetMemberAgesMs()) != members ||
		len(c.GetEvidenceAgesMs()) != evidence || len(c.GetRunning()) != evidence ||
		len(c.GetQueuedPromptTokens()) != evidence || len(c.GetFreeKvTokens()) != evidence {
		return errUnknownBase
	}
	for i, m := range r.GetMembers() {
		m.Counter, m.AgeMs = c.GetMemberCounters()[i], c.GetMemberAgesMs()[i]
	}
	for i, e := range r.GetEvidence() {
		e.AgeMs, e.Running = c.GetEvidenceAgesMs()[i], c.GetRunning()[i]
		e.QueuedPromptTokens, e.FreeKvTokens = c.GetQueuedPromptTokens()[i], c.GetFreeKvTokens()[i]
	}
	return nil
}

// stableHash returns the hash of what is left of a response after split. Only
// the node that made it compares it, so the encoding need not be canonical.
func stableHash(r *peerpb.ExchangeResponse) uint64 {
	responder := proto.CloneOf(r.GetResponder())
	responder.Counter = 0
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(&peerpb.ExchangeResponse{
		Responder: responder, Members: r.GetMembers(), Documents: r.GetDocuments(), Evidence: r.GetEvidence(),
	})
	if err != nil {
		return 0
	}
	return max(xxhash.Sum64(encoded), 1)
}

// shorten leaves out of a response what the requester holds under known.
// Members, documents and roles rarely change, while responses are sent to every
// member each second.
func shorten(r *peerpb.ExchangeResponse, known uint64) error {
	changes := split(r)
	r.Hash = stableHash(r)
	if r.GetHash() == 0 || r.GetHash() != known {
		return join(r, changes)
	}
	self := r.GetResponder()
	r.Responder = &peerpb.Member{Node: self.GetNode(), Boot: self.GetBoot(), Counter: self.GetCounter()}
	r.Members, r.Documents, r.Evidence, r.Changes = nil, nil, nil, changes
	return nil
}

// baseLog holds the stable part of the newest response from each address.
type baseLog struct {
	mu        sync.Mutex
	byAddress map[string]*peerpb.ExchangeResponse
	// told maps addresses to the hash of the versions in the newest request that
	// was answered.
	told map[string]uint64
}

// hasTold reports whether the node at an address answered a request with these
// versions.
func (b *baseLog) hasTold(address string, versions uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told[address] == versions
}

// setTold notes an answered request.
func (b *baseLog) setTold(address string, versions uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.told == nil {
		b.told = map[string]uint64{}
	}
	b.told[address] = versions
}

// versionsHash returns the hash of the versions in a request.
func versionsHash(versions []*peerpb.DocumentVersion) uint64 {
	h := xxhash.New()
	for _, v := range versions {
		_, _ = h.WriteString(v.GetName())
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, v.GetVersion()))
	}
	return max(h.Sum64(), 1)
}

// known returns the hash to state in a request.
func (b *baseLog) known(address string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byAddress[address].GetHash()
}

// expand returns a response with everything that was left out, and remembers a
// whole one.
func (b *baseLog) expand(address string, r *peerpb.ExchangeResponse) (*peerpb.ExchangeResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.GetChanges() == nil {
		b.remember(address, r)
		return r, nil
	}
	base := b.byAddress[address]
	if base == nil || base.GetHash() != r.GetHash() {
		delete(b.byAddress, address)
		return nil, errUnknownBase
	}
	whole := proto.CloneOf(base)
	if err := join(whole, r.GetChanges()); err != nil {
		delete(b.byAddress, address)
		return nil, err
	}
	whole.Responder.Counter = r.GetResponder().GetCounter()
	whole.Losses, whole.Confirmation, whole.Demand = r.GetLosses(), r.GetConfirmation(), r.GetDemand()
	return whole, nil
}

// remember keeps the stable part of a whole response; the caller holds the lock.
func (b *baseLog) remember(address string, r *peerpb.ExchangeResponse) {
	if r.GetHash() == 0 {
		delete(b.byAddress, address)
		return
	}
	base := proto.CloneOf(r)
	split(base)
	base.Losses, base.Confirmation, base.Demand = nil, nil, nil
	if b.byAddress == nil {
		b.byAddress = map[string]*peerpb.ExchangeResponse{}
	}
	b.byAddress[address] = base
}

// forget drops the responses of addresses that are not in use.
func (b *baseLog) forget(inUse map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address := range b.byAddress {
		if !inUse[address] {
			delete(b.byAddress, address)
		}
	}
	for address := range b.told {
		if !inUse[address] {
			delete(b.told, address)
		}
	}
}
