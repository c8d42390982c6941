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

	It("stands for the report that its receiver learnt", func() {
		// Guards against a role or load of another report, evidence that looks
		// younger than it is, and a record that is asked for again and again.
		var book reportBook
		sent := start.Add(3 * time.Second)
		remote := start.Add(time.Hour)
		d := digestOf(report, remote.Add(-1500*time.Microsecond), remote)
		known, unknown := book.expand(d, "n1", sent, sent)
		Expect(known).To(BeEmpty())
		Expect(unknown).To(Equal(d.GetRecord()))

		observation := blackboard.Observation{Report: report, ObservedAt: remote, Observer: "x"}
		whole := wantedEvidence([]blackboard.Observation{observation}, unknown, remote)
		Expect(whole).To(HaveLen(1))
		book.learn(decodeEvidence(whole[0], sent).Report, sent)
		busy := report
		busy.Running = 5
		known, unknown = book.expand(digestOf(busy, remote.Add(-1500*time.Microsecond), remote), "n1", sent, sent.Add(time.Second))
		Expect(unknown).To(BeEmpty())
		busy.Rank = 0
		Expect(known).To(Equal([]blackboard.Observation{{Report: busy, ObservedAt: sent.Add(-2 * time.Millisecond), Observer: "n1"}}))

		book.forget(sent.Add(reportRetention))
		Expect(book.byHash).To(HaveLen(1))
		book.forget(sent.Add(reportRetention + time.Second))
		Expect(book.byHash).To(BeEmpty())
	})

	It("never stands for another role", func() {
		// Guards against evidence of an old generation or state that is taken for
		// that of the present one.
		var book reportBook
		book.learn(report, start)
		for _, change := range []func(*fleet.Report){
			func(r *fleet.Report) { r.Instance = "j" }, func(r *fleet.Report) { r.Boot = "2" },
			func(r *fleet.Report) { r.Group = "h" }, func(r *fleet.Report) { r.Generation++ },
			func(r *fleet.Report) { r.Rank = 1 }, func(r *fleet.Report) { r.Size++ },
			func(r *fleet.Report) { r.Service = "t" }, func(r *fleet.Report) { r.Version = "w" },
			func(r *fleet.Report) { r.State = fleet.EngineLoading }, func(r *fleet.Report) { r.LoadedVersions = nil },
		} {
			other := report
			change(&other)
			known, unknown := book.expand(digestOf(other, start, start), "n1", start, start)
			Expect(known).To(BeEmpty())
			Expect(unknown).To(HaveLen(1))
		}
	})

	It("is cut to its shortest list", func() {
		// Guards against a malformed message that ends the process.
		var book reportBook
		d := digestOf(report, start, start)
		d.Running = nil
		known, unknown := book.expand(d, "n1", start, start)
		Expect(known).To(BeEmpty())
		Expect(unknown).To(BeEmpty())
	})
})

var _ = Describe("versions that the other side knows", func() {
	versions := []DocumentVersion{{"config/current", 7}, {"placement/a", 2}}
	request := func() *peerpb.ExchangeRequest {
		r := &peerpb.ExchangeRequest{}
		for _, v := range versions {
			r.Documents = append(r.Documents, encodeVersion(v))
		}
		return r
	}
	// exchange returns what the request carried and what its sender learnt.
	exchange := func(l *toldLog, boot string, held []DocumentVersion) (told int, learnt []*peerpb.DocumentVersion) {
		r := request()
		hash := l.shorten("x", r)
		response := &peerpb.ExchangeResponse{Responder: &peerpb.Member{Node: "b", Boot: boot}}
		newDigest(response, 0).documents(held, r.GetKnownDocuments())
		Expect(l.complete("x", hash, r, response)).To(Succeed())
		return len(r.GetDocuments()), response.GetDocuments()
	}

	It("are left out, but offered from every response", func() {
		// Guards against a heartbeat that counts without the versions of its
		// sender having been offered, and against a fetch that is never repeated.
		var l toldLog
		for round := range 3 {
			told, learnt := exchange(&l, "b1", versions)
			Expect(told == 0).To(Equal(round > 0))
			Expect(learnt).To(HaveLen(2))
			Expect(learnt[0].GetVersion()).To(Equal(uint64(7)))
		}
		_, learnt := exchange(&l, "b1", []DocumentVersion{{"config/current", 8}})
		Expect(learnt).To(HaveLen(1))
		Expect(learnt[0].GetVersion()).To(Equal(uint64(8)))
	})

	It("are told again to a process that started since", func() {
		// Guards against a new process that never hears what its predecessor did.
		var l toldLog
		exchange(&l, "b1", versions)
		told, _ := exchange(&l, "b2", versions)
		Expect(told).To(BeZero())
		told, _ = exchange(&l, "b2", versions)
		Expect(told).To(Equal(2))
		told, _ = exchange(&l, "b2", versions)
		Expect(told).To(BeZero())
	})
})
