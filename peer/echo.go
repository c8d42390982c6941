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

// heard is what the newest whole response from an address held.
type heard struct {
	heartbeats map[uint64]uint64
	evidence   map[uint64]time.Time
}

// echoLog leaves out of whole responses what their receiver itself told, so that
// a relay passes each statement over each edge of the tree once.
type echoLog struct {
	mu        sync.Mutex
	byAddress map[string]heard
}

// note remembers a response to a request sent at sentAt.
func (l *echoLog) note(address string, response *peerpb.ExchangeResponse, sentAt time.Time) {
	h := heard{heartbeats: map[uint64]uint64{}, evidence: map[uint64]time.Time{}}
	counters := response.GetHeartbeats().GetCounter()
	for i, id := range response.GetHeartbeats().GetRecord()[:min(len(counters), len(response.GetHeartbeats().GetRecord()))] {
		h.heartbeats[id] = counters[i]
	}
	ages := response.GetEvidenceDigest().GetAgeMs()
	for i, id := range response.GetEvidenceDigest().GetRecord()[:min(len(ages), len(response.GetEvidenceDigest().GetRecord()))] {
		h.evidence[id] = sentAt.Add(-decodeAge(ages[i]))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byAddress == nil {
		l.byAddress = map[string]heard{}
	}
	l.byAddress[address] = h
}

// filter returns what the node at an address did not tell as new itself.
func (l *echoLog) filter(address string, members []fleet.MemberView, evidence []blackboard.Observation) (
	[]fleet.MemberView, []blackboard.Observation,
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.byAddress[address]
	if !ok {
		return members, evidence
	}
	members = slices.DeleteFunc(members, func(m fleet.MemberView) bool {
		counter, told := h.heartbeats[recordHash(&m.Member, m.State == fleet.NodeLeaving)]
		return m.PeerAddress == address || told && m.Counter <= counter
	})
	evidence = slices.DeleteFunc(evidence, func(o blackboard.Observation) bool {
		at, told := h.evidence[reportHash(&o.Report)]
		return told && !o.ObservedAt.After(at)
	})
	return members, evidence
}

// forget drops the responses of addresses that are not in use.
func (l *echoLog) forget(inUse map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.byAddress, func(address string, _ heard) bool { return !inUse[address] })
}
