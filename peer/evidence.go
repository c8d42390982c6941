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

// maxWantedEvidence limits the evidence records requested in one request. That many
// records, of about 150 bytes each, stay below maxExchangeBytes.
const maxWantedEvidence = 256

// reportRetention is how long a report is cached without being referenced by an
// evidence digest.
const reportRetention = 60 * time.Second

// evidenceEntryBytes bounds the encoded size of an entry of an evidence digest: 8
// bytes of record hash, 3 of age, 2 of running requests and 3 for each number of
// tokens.
const evidenceEntryBytes = 19

// reportHash returns a hash of a report, excluding its load. Numbers are clamped as in
// the encoded report, so that sender and receiver compute the same hash.
func reportHash(r *fleet.Report) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [20]byte
	writeString := func(s string) { _, _ = d.WriteString(s); _, _ = d.Write([]byte{0}) }
	writeUint := func(n uint64) { _, _ = d.Write(strconv.AppendUint(number[:0], n, 10)); _, _ = d.Write([]byte{0}) }
	writeString(r.Instance)
	writeString(r.Boot)
	writeString(r.Group)
	writeUint(uint64(r.Generation))
	writeUint(uint64(clamp(r.Rank)))
	writeUint(uint64(clamp(r.Size)))
	writeString(r.Service)
	writeString(r.Version)
	writeString(string(r.State))
	for _, loaded := range r.LoadedVersions {
		writeString(loaded)
	}
	return d.Sum64()
}

// cachedReport is a report with the time at which it was stored or last referenced by
// an evidence digest.
type cachedReport struct {
	report       fleet.Report
	referencedAt time.Time
}

// reportCache holds the reports to which evidence digests refer, by report hash.
type reportCache struct {
	mu     sync.Mutex
	byHash map[uint64]cachedReport
}

// add stores a report.
func (c *reportCache) add(r fleet.Report, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byHash == nil {
		c.byHash = map[uint64]cachedReport{}
	}
	c.byHash[reportHash(&r)] = cachedReport{r, now}
}

// evictExpired evicts the reports that were not referenced within reportRetention.
func (c *reportCache) evictExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.byHash, func(_ uint64, cached cachedReport) bool {
		return now.Sub(cached.referencedAt) >= reportRetention
	})
}

// expand converts an evidence digest to observations. It also returns the hashes of the
// reports that are not in the cache, at most maxWantedEvidence. The digest is from the
// response to a request sent at sentAt. If its lists differ in length, entries beyond the
// end of the shortest list are ignored.
func (c *reportCache) expand(d *peerpb.EvidenceDigest, observer string, sentAt, now time.Time) (
	known []blackboard.Observation, unknown []uint64,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ages, running, queued, free := d.GetAgeMs(), d.GetRunning(), d.GetQueuedPromptTokens(), d.GetFreeKvTokens()
	entries := min(len(d.GetRecord()), len(ages), len(running), len(queued), len(free))
	for i, id := range d.GetRecord()[:entries] {
		cached, ok := c.byHash[id]
		if !ok {
			if len(unknown) < maxWantedEvidence {
				unknown = append(unknown, id)
			}
			continue
		}
		cached.referencedAt = now
		c.byHash[id] = cached
		o := blackboard.Observation{Report: cached.report, ObservedAt: sentAt.Add(-decodeAge(ages[i])), Observer: observer}
		o.Report.Running, o.Report.QueuedPromptTokens, o.Report.FreeKVTokens = int(running[i]), int(queued[i]), int(free[i])
		known = append(known, o)
	}
	return known, unknown
}

// appendEvidence appends an observation to d.
func appendEvidence(d *peerpb.EvidenceDigest, o *blackboard.Observation, now time.Time) {
	r := &o.Report
	d.Record = append(d.Record, reportHash(r))
	d.AgeMs = append(d.AgeMs, encodeAge(o.ObservedAt, now))
	d.Running = append(d.Running, clamp(r.Running))
	d.QueuedPromptTokens = append(d.QueuedPromptTokens, clamp(r.QueuedPromptTokens))
	d.FreeKvTokens = append(d.FreeKvTokens, clamp(r.FreeKVTokens))
}

// wantedEvidence returns the evidence whose records were requested, at most
// maxWantedEvidence.
func wantedEvidence(evidence []blackboard.Observation, records []uint64, now time.Time) []*peerpb.Evidence {
	if len(records) == 0 {
		return nil
	}
	wanted := make(map[uint64]bool, len(records))
	for _, id := range records {
		wanted[id] = true
	}
	var selected []*peerpb.Evidence
	for i := range evidence {
		if wanted[reportHash(&evidence[i].Report)] && len(selected) < maxWantedEvidence {
			selected = append(selected, encodeEvidence(&evidence[i], now))
		}
	}
	return selected
}
