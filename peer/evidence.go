package peer

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// maxWantedEvidence bounds the evidence records asked for in one request. Whole
// records of that number, at about 150 bytes, stay below maxExchangeBytes.
const maxWantedEvidence = 256

// reportRetention is how long a report is kept that no digest names.
const reportRetention = 60 * time.Second

// evidenceOverhead bounds the encoded size of an entry of an evidence digest: 8
// bytes of record hash, 3 of age, 2 of running requests and 3 for each number of
// tokens.
const evidenceOverhead = 19

// reportHash identifies a report without its load. Numbers are hashed as they
// are encoded, so that sender and receiver agree.
func reportHash(r *fleet.Report) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [20]byte
	text := func(s string) { _, _ = d.WriteString(s); _, _ = d.Write([]byte{0}) }
	value := func(n uint64) { _, _ = d.Write(strconv.AppendUint(number[:0], n, 10)); _, _ = d.Write([]byte{0}) }
	text(r.Instance)
	text(r.Boot)
	text(r.Group)
	value(uint64(r.Generation))
	value(uint64(clamp(r.Rank)))
	value(uint64(clamp(r.Size)))
	text(r.Service)
	text(r.Version)
	text(string(r.State))
	for _, loaded := range r.LoadedVersions {
		text(loaded)
	}
	return d.Sum64()
}

// knownReport is a report and the time at which it was last named.
type knownReport struct {
	report  fleet.Report
	namedAt time.Time
}

// reportBook holds the reports that digests refer to.
type reportBook struct {
	mu     sync.Mutex
	byHash map[uint64]knownReport
}

// learn stores a report.
func (b *reportBook) learn(r fleet.Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byHash == nil {
		b.byHash = map[uint64]knownReport{}
	}
	b.byHash[reportHash(&r)] = knownReport{r, now}
}

// forget drops the reports that were not named for reportRetention.
func (b *reportBook) forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.byHash, func(_ uint64, k knownReport) bool {
		return now.Sub(k.namedAt) >= reportRetention
	})
}

// expand turns a digest of a response to a request sent at sentAt into
// observations, and returns the records that are unknown here. A digest with
// lists of different lengths is ignored beyond the shortest one.
func (b *reportBook) expand(d *peerpb.EvidenceDigest, observer string, sentAt, now time.Time) (
	known []blackboard.Observation, unknown []uint64,
) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ages, running, queued, free := d.GetAgeMs(), d.GetRunning(), d.GetQueuedPromptTokens(), d.GetFreeKvTokens()
	entries := min(len(d.GetRecord()), len(ages), len(running), len(queued), len(free))
	for i, id := range d.GetRecord()[:entries] {
		held, ok := b.byHash[id]
		if !ok {
			if len(unknown) < maxWantedEvidence {
				unknown = append(unknown, id)
			}
			continue
		}
		held.namedAt = now
		b.byHash[id] = held
		o := blackboard.Observation{Report: held.report, ObservedAt: sentAt.Add(-decodeAge(ages[i])), Observer: observer}
		o.Report.Running, o.Report.QueuedPromptTokens, o.Report.FreeKVTokens = int(running[i]), int(queued[i]), int(free[i])
		known = append(known, o)
	}
	return known, unknown
}

// appendEvidence adds an observation to d.
func appendEvidence(d *peerpb.EvidenceDigest, o *blackboard.Observation, now time.Time) {
	r := &o.Report
	d.Record = append(d.Record, reportHash(r))
	d.AgeMs = append(d.AgeMs, encodeAge(o.ObservedAt, now))
	d.Running = append(d.Running, clamp(r.Running))
	d.QueuedPromptTokens = append(d.QueuedPromptTokens, clamp(r.QueuedPromptTokens))
	d.FreeKvTokens = append(d.FreeKvTokens, clamp(r.FreeKVTokens))
}

// wantedEvidence returns the evidence whose records were asked for.
func wantedEvidence(evidence []blackboard.Observation, records []uint64, now time.Time) []*peerpb.Evidence {
	if len(records) == 0 {
		return nil
	}
	asked := make(map[uint64]bool, len(records))
	for _, id := range records {
		asked[id] = true
	}
	var selected []*peerpb.Evidence
	for i := range evidence {
		if asked[reportHash(&evidence[i].Report)] && len(selected) < maxWantedEvidence {
			selected = append(selected, encodeEvidence(&evidence[i], now))
		}
	}
	return selected
}
