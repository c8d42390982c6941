package peer

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// encodeAge returns the time from at to now in milliseconds, rounded up so that
// nothing looks fresher than it is.
func encodeAge(at, now time.Time) uint32 {
	age := now.Sub(at)
	if age <= 0 {
		return 0
	}
	return uint32(min((age+time.Millisecond-1)/time.Millisecond, math.MaxUint32))
}

// decodeAge converts an age in milliseconds to a duration.
func decodeAge(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// encodeMember converts a member to its record; ageMs is the age of its newest
// heartbeat.
func encodeMember(m *fleet.Member, leaving bool, ageMs uint32) *peerpb.Member {
	return &peerpb.Member{
		Node: m.Node, Boot: m.Boot, Region: m.Region, FailureDomain: m.FailureDomain,
		CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress,
		Leaving: leaving, Counter: m.Counter, AgeMs: ageMs,
	}
}

// decodeMember converts a record to a member, without its leaving mark and age.
func decodeMember(m *peerpb.Member) fleet.Member {
	return fleet.Member{
		Node: m.GetNode(), Boot: m.GetBoot(), Region: m.GetRegion(),
		FailureDomain: m.GetFailureDomain(), CallerAddress: m.GetCallerAddress(),
		PeerAddress: m.GetPeerAddress(), Counter: m.GetCounter(),
	}
}

// recordHash returns a hash of a member's record, excluding its counter and age.
func recordHash(m *fleet.Member, leaving bool) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, field := range []string{
		m.Node, m.Boot, m.Region, m.FailureDomain, m.CallerAddress, m.PeerAddress,
		strconv.FormatBool(leaving),
	} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func encodeVersion(v DocumentVersion) *peerpb.DocumentVersion {
	return &peerpb.DocumentVersion{Name: v.Name, Version: v.Version}
}

func encodeLoss(l *blackboard.Loss, now time.Time) *peerpb.Loss {
	return &peerpb.Loss{Instance: l.Instance, Boot: l.Boot, AgeMs: encodeAge(l.At, now)}
}

// decodeLoss computes the time of a loss back from the time of receipt. A loss that
// looks newer than it is suspends a group slightly longer; one that looks older
// could be ignored in favour of evidence from before the loss.
func decodeLoss(l *peerpb.Loss, receivedAt time.Time) blackboard.Loss {
	return blackboard.Loss{
		Instance: l.GetInstance(), Boot: l.GetBoot(), At: receivedAt.Add(-decodeAge(l.GetAgeMs())),
	}
}

func encodeEvidence(o *blackboard.Observation, now time.Time) *peerpb.Evidence {
	r := &o.Report
	return &peerpb.Evidence{
		Instance: r.Instance, Boot: r.Boot, AgeMs: encodeAge(o.ObservedAt, now),
		Group: r.Group, Generation: uint64(r.Generation), Rank: clamp(r.Rank), Size: clamp(r.Size),
		Service: r.Service, Version: r.Version, State: string(r.State),
		Running: clamp(r.Running), QueuedPromptTokens: clamp(r.QueuedPromptTokens),
		FreeKvTokens: clamp(r.FreeKVTokens), Observer: o.Observer, LoadedVersions: r.LoadedVersions,
	}
}

// decodeEvidence converts evidence in the response to a request sent at sentAt. The time
// of the observation is sentAt minus the age.
func decodeEvidence(e *peerpb.Evidence, sentAt time.Time) blackboard.Observation {
	return blackboard.Observation{
		Report: fleet.Report{
			Instance: e.GetInstance(), Boot: e.GetBoot(), Group: e.GetGroup(),
			Generation: fleet.Generation(e.GetGeneration()),
			Rank:       int(e.GetRank()), Size: int(e.GetSize()),
			Service: e.GetService(), Version: e.GetVersion(), State: fleet.EngineState(e.GetState()),
			Running: int(e.GetRunning()), QueuedPromptTokens: int(e.GetQueuedPromptTokens()),
			FreeKVTokens: int(e.GetFreeKvTokens()), LoadedVersions: e.GetLoadedVersions(),
		},
		ObservedAt: sentAt.Add(-decodeAge(e.GetAgeMs())),
		Observer:   e.GetObserver(),
	}
}

func encodeDemand(node string, d *blackboard.NodeDemand, now time.Time) *peerpb.NodeDemand {
	encoded := &peerpb.NodeDemand{Node: node, AgeMs: encodeAge(d.ReceivedAt, now)}
	for organisation, rate := range d.TokensPerSecond {
		encoded.Organisations = append(encoded.Organisations, &peerpb.OrganisationDemand{
			Organisation: organisation, TokensPerSecond: float32(rate),
		})
	}
	return encoded
}

// decodeDemand converts demand in the response to a request sent at sentAt. The time of
// the report is sentAt minus the age.
func decodeDemand(d *peerpb.NodeDemand, sentAt time.Time) blackboard.NodeDemand {
	rates := make(map[string]float64, len(d.GetOrganisations()))
	for _, o := range d.GetOrganisations() {
		rates[o.GetOrganisation()] = float64(o.GetTokensPerSecond())
	}
	return blackboard.NodeDemand{
		ReceivedAt: sentAt.Add(-decodeAge(d.GetAgeMs())), TokensPerSecond: rates,
	}
}

// clamp converts n to uint32; values out of range become the nearest bound.
func clamp(n int) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }
