package settings

import (
	"fmt"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/rattanlanding/rattanlanding/internal/strictjson"
)

// Limits that follow from the guarantees.
const (
	// lossToLastSend is the longest time that guarantee R1 allows from a loss to the last
	// request sent.
	lossToLastSend = 3 * time.Second
	// sendReserve is the time within lossToLastSend that is reserved for sending a
	// request.
	sendReserve = 500 * time.Millisecond
	// maxConfirmationLifetime leaves a node one second to stop serving within the 12 s of
	// guarantee R8.
	maxConfirmationLifetime = 11 * time.Second
)

// Limits on lengths.
const (
	// minPeerKeyLength is the minimum length of the peer key in characters.
	minPeerKeyLength = 16
	// maxPeerKeyLength is the maximum length of the peer key in characters.
	maxPeerKeyLength = 1024
	// maxAddresses is the maximum number of entries in a list of addresses.
	maxAddresses = 1000
)

// logLevels are the valid values of log.level.
var logLevels = []string{"debug", "info", "warn", "error"}

// durationRange is the allowed range of one bound.
type durationRange struct {
	field     string
	value     time.Duration
	low, high time.Duration
}

// check adds a problem for each invalid field.
func (s *Settings) check(p *strictjson.Problems) {
	p.CheckName("node", s.Node)
	p.CheckName("region", s.Region)
	p.CheckName("failureDomain", s.FailureDomain)
	s.checkAddresses(p)
	s.checkKeys(p)
	if !slices.Contains(logLevels, s.Log.Level) {
		p.Add("log.level", "must be one of %v", logLevels)
	}
	s.Bounds.checkRanges(p)
	s.Bounds.checkRelations(p)
	s.checkLimits(p)
}

func (s *Settings) checkAddresses(p *strictjson.Problems) {
	listeners := []string{s.CallerAddress, s.OperatorAddress, s.PeerAddress}
	for i, field := range []string{"callerAddress", "operatorAddress", "peerAddress"} {
		p.CheckAddress(field, listeners[i])
		if slices.Contains(listeners[:i], listeners[i]) {
			p.Add(field, "must differ from the other listeners")
		}
	}
	if len(s.PlatformAddresses) == 0 {
		p.Add("platformAddresses", "must have at least one entry")
	}
	checkAddressList(p, "platformAddresses", s.PlatformAddresses)
	checkAddressList(p, "peers", s.Peers)
	p.CheckAddress("peerAdvertiseAddress", s.PeerAdvertiseAddress)
}

// checkAddressList checks a list of addresses, which must not contain duplicates.
func checkAddressList(p *strictjson.Problems, field string, list []string) {
	if len(list) > maxAddresses {
		p.Add(field, "must have at most %d entries", maxAddresses)
		return
	}
	for i, address := range list {
		path := fmt.Sprintf("%s[%d]", field, i)
		p.CheckAddress(path, address)
		if slices.Contains(list[:i], address) {
			p.Add(path, "stands twice")
		}
	}
}

// checkKeys checks the peer key and the operators' keys.
func (s *Settings) checkKeys(p *strictjson.Problems) {
	if n := utf8.RuneCountInString(s.PeerKey); n < minPeerKeyLength || n > maxPeerKeyLength {
		p.Add("peerKey", "must have from %d to %d characters", minPeerKeyLength, maxPeerKeyLength)
	}
	names, hashes := make(map[string]bool), make(map[string]bool)
	for i, key := range s.OperatorKeys {
		path := fmt.Sprintf("operatorKeys[%d]", i)
		p.CheckName(path+".name", key.Name)
		p.CheckHash(path+".keySha256", key.KeySHA256)
		if names[key.Name] {
			p.Add(path+".name", "stands twice")
		}
		if hashes[key.KeySHA256] {
			p.Add(path+".keySha256", "stands twice")
		}
		names[key.Name], hashes[key.KeySHA256] = true, true
	}
}

// checkRanges checks the range of each bound.
func (b *Bounds) checkRanges(p *strictjson.Problems) {
	const ms, s = time.Millisecond, time.Second
	for _, r := range []durationRange{
		{"evidenceLifetime", b.EvidenceLifetime, 200 * ms, lossToLastSend - sendReserve},
		{"probeInterval", b.ProbeInterval, 50 * ms, 2 * s},
		{"probeTimeout", b.ProbeTimeout, 20 * ms, 2 * s},
		{"leaseDuration", b.LeaseDuration, 300 * ms, 60 * s},
		{"leaseRenewInterval", b.LeaseRenewInterval, 50 * ms, 20 * s},
		{"confirmationLifetime", b.ConfirmationLifetime, 500 * ms, maxConfirmationLifetime},
		{"majorityContact", b.MajorityContact, 200 * ms, maxConfirmationLifetime},
		{"configurationPoll", b.ConfigurationPoll, 100 * ms, 10 * s},
		{"exchangeInterval", b.ExchangeInterval, 50 * ms, 2 * s},
		{"memberDead", b.MemberDead, 500 * ms, 10 * time.Minute},
		{"addressTtl", b.AddressTTL, 100 * ms, 5 * time.Minute},
		{"drainTimeout", b.DrainTimeout, s, time.Hour},
		{"repairDelay", b.RepairDelay, 500 * ms, time.Hour},
		{"claimRetention", b.ClaimRetention, time.Minute, 24 * time.Hour},
	} {
		if r.value < r.low || r.value > r.high {
			p.Add("bounds."+r.field, "must be from %s to %s", r.low, r.high)
		}
	}
}

// checkRelations rejects combinations of bounds that violate a guarantee or prevent
// a mechanism from working, although each bound is within its range.
func (b *Bounds) checkRelations(p *strictjson.Problems) {
	if b.LeaseRenewInterval >= b.LeaseDuration/3 {
		p.Add("bounds.leaseRenewInterval", "must be below a third of leaseDuration, so that two renewals may be lost")
	}
	if b.ProbeTimeout >= b.ProbeInterval {
		p.Add("bounds.probeTimeout", "must be below probeInterval")
	}
	if b.EvidenceLifetime <= b.ProbeInterval+b.ProbeTimeout {
		p.Add("bounds.evidenceLifetime", "must be above probeInterval plus probeTimeout, or healthy groups lapse between probes")
	}
	if b.ConfigurationPoll >= b.ConfirmationLifetime {
		p.Add("bounds.configurationPoll", "must be below confirmationLifetime")
	}
	if b.MajorityContact <= b.ExchangeInterval {
		p.Add("bounds.majorityContact", "must be above exchangeInterval")
	}
	if b.MemberDead < b.MajorityContact {
		p.Add("bounds.memberDead", "must be at least majorityContact")
	}
	if b.DrainTimeout <= b.AddressTTL+time.Second {
		p.Add("bounds.drainTimeout", "must be above addressTtl plus 1s, the time a leaving node still serves")
	}
}

// checkLimits checks the ranges of the limits and the placement settings.
func (s *Settings) checkLimits(p *strictjson.Problems) {
	p.CheckRange("limits.memoryBytes", float64(s.Limits.MemoryBytes), 32<<20, 1<<40)
	p.CheckRange("limits.maxDescriptors", float64(s.Limits.MaxDescriptors), 0, 1<<20)
	p.CheckRange("limits.maxBodyBytes", float64(s.Limits.MaxBodyBytes), 1024, 64<<20)
	p.CheckRange("limits.maxConcurrentRequests", float64(s.Limits.MaxConcurrentRequests), 1, 100_000)
	p.CheckRange("limits.retryBudgetRatio", s.Limits.RetryBudgetRatio, 0, 1)
	p.CheckRange("limits.maxAttempts", float64(s.Limits.MaxAttempts), 1, 10)
	p.CheckRange("placement.downtimeWeight", s.Placement.DowntimeWeight, 0, 1)
	p.CheckName("placement.policy", s.Placement.Policy)
}
