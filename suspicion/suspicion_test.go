package suspicion

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// start is when each test begins.
var start = time.Unix(1e9, 0)

// observe returns a record of a server after outcomes in steps of a duration: '.' is an answer,
// '!' a lost response, 'b' the begin of a response.
func observe(outcomes string, step time.Duration) (*Record, time.Time) {
	r, now := &Record{}, start
	for _, o := range outcomes {
		now = now.Add(step)
		switch o {
		case '.':
			r.Answered(now)
		case 'b':
			r.Began(now)
		case '!':
			r.Failed(Lost, now)
		}
	}
	return r, now
}

// repeat returns outcomes n times in succession.
func repeat(outcomes string, n int) (all string) {
	for range n {
		all += outcomes
	}
	return all
}

// Guards against a group that gets no requests because it has lost one answer among many, and
// against one that goes on to get them although it answers none.
func TestTrustFollowsTheOddsOfTheNextRequest(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes    string
		step        time.Duration
		least, most float64
	}{
		"nothing known":                  {"", 0, 1, 1},
		"one lost among a hundred":       {repeat(".", 50) + "!" + repeat(".", 50), 20 * time.Millisecond, 0.95, 1},
		"one lost now, a hundred before": {repeat(".", 100) + "!", 20 * time.Millisecond, 0.85, 1},
		"one lost, no other request":     {"!", time.Millisecond, 0.7, 0.9},
		"one in ten lost":                {repeat(".........!", 20) + ".", 20 * time.Millisecond, 0.85, 0.95},
		"two in five lost":               {repeat(".!.!.", 40), 20 * time.Millisecond, 0.5, 0.7},
		"each second lost":               {repeat(".!", 60), 20 * time.Millisecond, 0.35, 0.6},
		"all lost, sound before":         {repeat(".", 100) + "!!!!", 20 * time.Millisecond, 0, 0.1},
		"all lost, little before":        {"..!!!!!!", 20 * time.Millisecond, 0, 0.5},
		"back after an outage":           {repeat(".", 100) + "!!!!b", 20 * time.Millisecond, 0.85, 1},
		"lost long ago":                  {"!!!!" + repeat(".", 40), 100 * time.Millisecond, 0.95, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r, now := observe(test.outcomes, test.step)
			a := Assess(r.Evidence(now), 0, true, true)
			NewWithT(t).Expect(a.Trust).To(And(BeNumerically(">=", test.least), BeNumerically("<=", test.most)))
			NewWithT(t).Expect(a.Held).To(BeFalse())
		})
	}
}

// Guards against requests to a server that sends nothing, and against a server that stays out
// although it answers.
func TestSilentServersAreHeldUntilTheyShowASignOfLife(t *testing.T) {
	g := NewWithT(t)
	r, now := &Record{}, start
	assess := func() Assessment { return Assess(r.Evidence(now), 0, false, false) }
	g.Expect(r.Failed(Silent, now)).To(BeTrue())
	g.Expect(assess()).To(Equal(Assessment{Held: true}))
	g.Expect(r.Held(now)).To(BeTrue())
	// Others may still get events from it.
	g.Expect(Assess(r.Evidence(now), 0, false, true)).To(Equal(Assessment{Trust: 1, Untested: true}))
	// The hold is renewed while the silence lasts.
	now = now.Add(holdDuration / 2)
	g.Expect(r.Failed(Silent, now)).To(BeFalse())
	now = now.Add(holdDuration - time.Millisecond)
	g.Expect(r.Held(now)).To(BeTrue())
	// One request at a time shows whether it is back.
	now = now.Add(time.Millisecond)
	g.Expect(assess()).To(Equal(Assessment{Trust: 1, Untested: true}))
	g.Expect(r.Failed(Silent, now)).To(BeTrue())
	r.Progressed()
	g.Expect(assess()).To(Equal(sound))
	// Streams in progress don't show that a server accepts new ones.
	r.Failed(Gone, now)
	r.Progressed()
	g.Expect(assess().Held).To(BeTrue())
	r.Began(now)
	g.Expect(assess()).To(Equal(sound))
}

// Guards against a node that is cut off and persuades the others of its view, and against
// requests of each node to a server that others know to be silent.
func TestTwoOtherNodesHoldAServer(t *testing.T) {
	g := NewWithT(t)
	silent, gone := Evidence{Hold: Silent}.Report(0), Evidence{Hold: Gone}.Report(0)
	g.Expect(Assess(Evidence{}, silent, false, false).Held).To(BeFalse())
	g.Expect(Assess(Evidence{}, silent.Add(gone), false, false).Held).To(BeTrue())
	g.Expect(Assess(Evidence{}, silent.Add(gone), true, true).Held).To(BeFalse())
}

// Guards against the failures of one path that outweigh what a node sees itself.
func TestReportsOfOthersAreWeighedWithTheirAnswers(t *testing.T) {
	g := NewWithT(t)
	others := Evidence{Failed: 40, Answered: 60}.Report(0)
	g.Expect(Assess(Evidence{}, others, true, true).Trust).To(BeNumerically("~", 0.65, 0.06))
	g.Expect(Assess(Evidence{Answered: 60}, others, true, true).Trust).To(BeNumerically(">", 0.85))
	g.Expect(Assess(Evidence{Failed: 30, Answered: 30}, Evidence{Answered: 100, Failed: 0.25}.Report(0), true, true).Trust).To(BeNumerically("<", 0.75))
	// Without events at any node, its failures are an outage.
	g.Expect(Assess(Evidence{}, Evidence{Failed: 8, Answered: 100}.Report(0), false, false).Trust).To(BeNumerically("<", 0.2))
}

// Guards against answers that aren't told, without which each failure counts double.
func TestReports(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Evidence{Answered: 50}.Report(0)).To(BeZero())
	seen := Evidence{Answered: 50, Failed: 1}.Report(0)
	g.Expect(Evidence{Answered: 50}.Report(seen).Answered()).To(BeEquivalentTo(50))
	sum := seen.Add(Evidence{Answered: 30, Failed: 2, Hold: Gone}.Report(0)).Add(Evidence{Hold: Silent}.Report(0))
	g.Expect([]float64{sum.Answered(), sum.Failed(), float64(sum.Gone()), float64(sum.Silent())}).To(Equal([]float64{80, 3, 1, 1}))
	g.Expect(sum.Without(seen).Answered()).To(BeEquivalentTo(30))
	g.Expect(seen.Without(sum)).To(BeZero())
	for range 100 {
		sum = sum.Add(sum)
	}
	g.Expect(sum.Answered()).To(BeEquivalentTo(float64(maxCount) / countUnits))
	g.Expect(sum.Unresponsive()).To(Equal(2 * maxNodes))
}

// Guards against a state that doesn't fit into its datagram after a mass loss, and against
// leaving out the worst servers.
func TestWorstReportsAreSent(t *testing.T) {
	g := NewWithT(t)
	reports := map[uint32]Report{}
	for i := range uint32(60) {
		reports[i] = Evidence{Failed: 1 + float64(i)/4}.Report(0)
	}
	reports[99] = Evidence{Hold: Silent}.Report(0)
	worst := Worst(reports)
	g.Expect(worst).To(HaveLen(MaxReports))
	g.Expect(worst).To(HaveKey(uint32(99)))
	g.Expect(worst).To(HaveKey(uint32(59)))
	g.Expect(worst).NotTo(HaveKey(uint32(3)))
}

// Guards against callers that are refused while a server answers nine in ten, and against
// sending to it what idle sound servers would answer.
func TestShareRisesWithTheLoad(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Share(1, 0)).To(BeEquivalentTo(1))
	g.Expect(Share(0.9, 1)).To(BeNumerically(">=", 0.9))
	g.Expect(Share(0.9, 0.2)).To(BeNumerically("<", 0.7))
	g.Expect(Share(0.5, 0.2)).To(BeNumerically("<", 0.1))
	g.Expect(Share(0, 0.5)).To(BeZero())
	g.Expect(Share(0.01, 1)).To(BeNumerically("<=", 0.02))
	for u := 0.0; u < 1; u += 0.1 {
		g.Expect(Share(0.7, u)).To(BeNumerically("<", Share(0.7, u+0.1)))
	}
}
