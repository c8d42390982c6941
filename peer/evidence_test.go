package peer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

var _ = Describe("evidence digest", func() {
	report := fleet.Report{Instance: "i", Boot: "1", Group: "g", Generation: 4, Rank: -1, Size: 8, Service: "s",
		Version: "v", State: fleet.EngineReady, Running: 3, QueuedPromptTokens: 70_000, FreeKVTokens: 9, LoadedVersions: []string{"s/v"}}
	digestOf := func(r fleet.Report, observedAt, now time.Time) *peerpb.EvidenceDigest {
		d := &peerpb.EvidenceDigest{}
		appendEvidence(d, &blackboard.Observation{Report: r, ObservedAt: observedAt, Observer: "x"}, now)
		return d
	}

	It("expands to the report that its receiver has cached", func() {
		// Guards against observations with the role or load of another report,
		// evidence that looks younger than it is, and records that are requested
		// repeatedly.
		var cache reportCache
		sent := start.Add(3 * time.Second)
		remote := start.Add(time.Hour)
		d := digestOf(report, remote.Add(-1500*time.Microsecond), remote)
		known, unknown := cache.expand(d, "n1", sent, sent)
		Expect(known).To(BeEmpty())
		Expect(unknown).To(Equal(d.GetRecord()))

		observation := blackboard.Observation{Report: report, ObservedAt: remote, Observer: "x"}
		wanted := wantedEvidence([]blackboard.Observation{observation}, unknown, remote)
		Expect(wanted).To(HaveLen(1))
		cache.add(decodeEvidence(wanted[0], sent).Report, sent)
		busy := report
		busy.Running = 5
		known, unknown = cache.expand(digestOf(busy, remote.Add(-1500*time.Microsecond), remote), "n1", sent, sent.Add(time.Second))
		Expect(unknown).To(BeEmpty())
		busy.Rank = 0
		Expect(known).To(Equal([]blackboard.Observation{{Report: busy, ObservedAt: sent.Add(-2 * time.Millisecond), Observer: "n1"}}))

		cache.evictExpired(sent.Add(reportRetention))
		Expect(cache.byHash).To(HaveLen(1))
		cache.evictExpired(sent.Add(reportRetention + time.Second))
		Expect(cache.byHash).To(BeEmpty())
	})

	It("never expands to a report that differs in anything but the load", func() {
		// Guards against evidence of an old generation or state that is taken for
		// evidence of the current one.
		var cache reportCache
		cache.add(report, start)
		for _, change := range []func(*fleet.Report){
			func(r *fleet.Report) { r.Instance = "j" }, func(r *fleet.Report) { r.Boot = "2" },
			func(r *fleet.Report) { r.Group = "h" }, func(r *fleet.Report) { r.Generation++ },
			func(r *fleet.Report) { r.Rank = 1 }, func(r *fleet.Report) { r.Size++ },
			func(r *fleet.Report) { r.Service = "t" }, func(r *fleet.Report) { r.Version = "w" },
			func(r *fleet.Report) { r.State = fleet.EngineLoading }, func(r *fleet.Report) { r.LoadedVersions = nil },
		} {
			other := report
			change(&other)
			known, unknown := cache.expand(digestOf(other, start, start), "n1", start, start)
			Expect(known).To(BeEmpty())
			Expect(unknown).To(HaveLen(1))
		}
	})

	It("is truncated to its shortest list", func() {
		// Guards against a malformed message that makes the process panic.
		var cache reportCache
		d := digestOf(report, start, start)
		d.Running = nil
		known, unknown := cache.expand(d, "n1", start, start)
		Expect(known).To(BeEmpty())
		Expect(unknown).To(BeEmpty())
	})
})

var _ = Describe("document versions that the peer has received", func() {
	versions := []DocumentVersion{{"config/current", 7}, {"placement/a", 2}}
	request := func() *peerpb.ExchangeRequest {
		r := &peerpb.ExchangeRequest{}
		for _, v := range versions {
			r.Documents = append(r.Documents, encodeVersion(v))
		}
		return r
	}
	// exchange returns the number of versions in the request and the versions that its
	// sender gets from the response.
	exchange := func(p *peerVersions, boot string, held []DocumentVersion) (sent int, received []*peerpb.DocumentVersion) {
		r := request()
		hash := p.omitAcknowledged("x", r)
		response := &peerpb.ExchangeResponse{Responder: &peerpb.Member{Node: "b", Boot: boot}}
		newResponseBuilder(response, 0).addDocuments(held, r.GetKnownDocuments())
		Expect(p.restoreOmitted("x", hash, r, response)).To(Succeed())
		return len(r.GetDocuments()), response.GetDocuments()
	}

	It("are omitted from messages, but offered after every response", func() {
		// Guards against a heartbeat that is recorded although the versions of its
		// sender were not offered, and against a failed fetch that is never retried.
		var p peerVersions
		for round := range 3 {
			sent, received := exchange(&p, "b1", versions)
			Expect(sent == 0).To(Equal(round > 0))
			Expect(received).To(HaveLen(2))
			Expect(received[0].GetVersion()).To(Equal(uint64(7)))
		}
		_, received := exchange(&p, "b1", []DocumentVersion{{"config/current", 8}})
		Expect(received).To(HaveLen(1))
		Expect(received[0].GetVersion()).To(Equal(uint64(8)))
	})

	It("are sent again to a restarted process", func() {
		// Guards against a restarted process that never receives the versions that were
		// sent to its predecessor.
		var p peerVersions
		exchange(&p, "b1", versions)
		sent, _ := exchange(&p, "b2", versions)
		Expect(sent).To(BeZero())
		sent, _ = exchange(&p, "b2", versions)
		Expect(sent).To(Equal(2))
		sent, _ = exchange(&p, "b2", versions)
		Expect(sent).To(BeZero())
	})
})
