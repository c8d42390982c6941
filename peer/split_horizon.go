package peer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// receivedEntries holds the entries of the newest full response from an address.
type receivedEntries struct {
	// heartbeats maps record hashes to heartbeat counters.
	heartbeats map[uint64]uint64
	// evidence maps report hashes to the time of the observation.
	evidence map[uint64]time.Time
}

// splitHorizon removes from a full response the entries that were received from its
// requester, as in the split horizon rule of routing protocols. Each entry therefore
// crosses each edge of the relay tree once.
type splitHorizon struct {
	mu        sync.Mutex
	byAddress map[string]receivedEntries
}

// record stores the entries of the response to a request sent at sentAt.
func (s *splitHorizon) record(address string, response *peerpb.ExchangeResponse, sentAt time.Time) {
	entries := receivedEntries{heartbeats: map[uint64]uint64{}, evidence: map[uint64]time.Time{}}
	counters := response.GetHeartbeats().GetCounter()
	for i, id := range response.GetHeartbeats().GetRecord()[:min(len(counters), len(response.GetHeartbeats().GetRecord()))] {
		entries.heartbeats[id] = counters[i]
	}
	ages := response.GetEvidenceDigest().GetAgeMs()
	for i, id := range response.GetEvidenceDigest().GetRecord()[:min(len(ages), len(response.GetEvidenceDigest().GetRecord()))] {
		entries.evidence[id] = sentAt.Add(-decodeAge(ages[i]))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddress == nil {
		s.byAddress = map[string]receivedEntries{}
	}
	s.byAddress[address] = entries
}

// filter returns the members and evidence that the node at an address has not itself
// sent, or that are newer here.
func (s *splitHorizon) filter(address string, members []fleet.MemberView, evidence []blackboard.Observation) (
	[]fleet.MemberView, []blackboard.Observation,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, ok := s.byAddress[address]
	if !ok {
		return members, evidence
	}
	members = slices.DeleteFunc(members, func(m fleet.MemberView) bool {
		counter, received := entries.heartbeats[recordHash(&m.Member, m.State == fleet.NodeLeaving)]
		return m.PeerAddress == address || received && m.Counter <= counter
	})
	evidence = slices.DeleteFunc(evidence, func(o blackboard.Observation) bool {
		at, received := entries.evidence[reportHash(&o.Report)]
		return received && !o.ObservedAt.After(at)
	})
	return members, evidence
}

// prune drops the entries of addresses that are not in use.
func (s *splitHorizon) prune(inUse map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byAddress, func(address string, _ receivedEntries) bool { return !inUse[address] })
}
