package estimate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
)

func testEngine() Engine {
	return Engine{Slots: 20, TimeFactor: 1, Lengths: Lengths{PromptTokens: 700, Events: 28}, Profile: &catalog.EngineProfile{
		Slots: 20, StepTime: 8 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond,
		PrefillRate: 46_000, PrefillChunk: 2048, StepsPerEvent: 6}}
}

func TestFirstEventGrowsWithWhatTheTargetHasToDo(t *testing.T) {
	g := NewWithT(t)
	e := testEngine()
	idle := e.FirstEvent(Load{}, 700)
	full := e.FirstEvent(Load{Requests: 19}, 700)
	g.Expect(idle).To(BeNumerically("~", 64*time.Millisecond, 4*time.Millisecond), "reading and one pass")
	g.Expect(full).To(BeNumerically("~", 75*time.Millisecond, 4*time.Millisecond), "a pass of a full batch takes longer")
	g.Expect(e.FirstEvent(Load{Requests: 19, UnreadTokens: 4600}, 700) - full).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	g.Expect(e.FirstEvent(Load{Requests: 19}, 5300) - full).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	g.Expect(e.FirstEvent(Load{Requests: 22}, 700)-full).To(BeNumerically("~", 270*time.Millisecond, 50*time.Millisecond), "three responses end before")
}

func TestEventGapIsBoundByTheChunks(t *testing.T) {
	g := NewWithT(t)
	e := testEngine()
	g.Expect(e.EventGap(Load{Requests: 19}, 700)).To(BeNumerically("<", 80*time.Millisecond))
	longest := e.EventGap(Load{Requests: 19, UnreadTokens: 6 * 2048}, 700)
	g.Expect(longest).To(BeNumerically("~", 327*time.Millisecond, 5*time.Millisecond))
	g.Expect(e.EventGap(Load{Requests: 19, UnreadTokens: 1e6}, 700)).To(Equal(longest))
}

func TestLevelIsAboutAtTheSlots(t *testing.T) {
	g := NewWithT(t)
	e := testEngine()
	base := e.FirstEvent(Load{Requests: 19}, 700)
	g.Expect(e.Level(base, 0)).To(BeNumerically("~", 19, 0.01))
	g.Expect(e.Level(base+time.Second, 0)).To(BeNumerically("~", 21, 0.01))
	g.Expect(e.Level(base, 300*time.Millisecond)).To(BeNumerically("~", 18, 0.5), "three requests are not reported yet")
	// An engine that is emptier would hardly be faster.
	g.Expect(e.Level(-time.Second, 0)).To(BeNumerically("~", 16, 0.01))
}

func TestSendRateReturnsToTheLevel(t *testing.T) {
	g := NewWithT(t)
	e := testEngine()
	g.Expect(e.SendRate(20, 20)).To(BeNumerically("~", e.CompletionRate(20), 0.01))
	g.Expect(e.SendRate(16, 20)).To(BeNumerically(">", e.CompletionRate(16)))
	g.Expect(e.SendRate(60, 20)).To(BeZero())
}

func TestAWrongProfileCorrectsItself(t *testing.T) {
	g := NewWithT(t)
	var c Correction
	for range 12 {
		c.ObserveFirstEvent(70*time.Millisecond, 0, 180*time.Millisecond)
		c.ObservePace(2.5)
	}
	g.Expect(c.Delay()).To(BeNumerically("~", 110*time.Millisecond, time.Millisecond))
	g.Expect(c.Pace()).To(BeNumerically("~", 2.5, 0.3))
	for range 40 {
		c.ObserveFirstEvent(70*time.Millisecond, 0, 70*time.Millisecond)
		c.ObservePace(1)
	}
	g.Expect(c.Delay()).To(BeNumerically("~", 0, 10*time.Millisecond))
	g.Expect(c.Pace()).To(BeNumerically("~", 1, 0.1))
}

func TestWaitsThatDoNotOccurAreNoLongerExpected(t *testing.T) {
	g := NewWithT(t)
	var c Correction
	g.Expect(c.WaitFactor()).To(BeNumerically("==", 1))
	for range 60 {
		c.ObserveFirstEvent(70*time.Millisecond, 0, 180*time.Millisecond)
		c.ObserveFirstEvent(70*time.Millisecond, 200*time.Millisecond, 190*time.Millisecond)
	}
	g.Expect(c.Delay()).To(BeNumerically("~", 110*time.Millisecond, time.Millisecond))
	g.Expect(c.WaitFactor()).To(BeNumerically("<", 0.3))
	for range 60 {
		c.ObserveFirstEvent(70*time.Millisecond, 100*time.Millisecond, 280*time.Millisecond)
	}
	g.Expect(c.WaitFactor()).To(BeNumerically("~", 1, 0.1))
}

func TestWhatOneTargetShowedFades(t *testing.T) {
	g := NewWithT(t)
	var c TargetCorrection
	now := time.Now()
	for range 5 {
		c.ObservePace(3, now)
	}
	g.Expect(c.Pace(now)).To(BeNumerically(">", 2))
	g.Expect(c.Pace(now.Add(20 * time.Second))).To(BeNumerically("~", 1, 0.05))
}

func TestBetterRanksComeFirstAndNoneIsStarved(t *testing.T) {
	g := NewWithT(t)
	var r Ranks
	now := time.Now()
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		r.Add(i%10/8, now) // 8 of 10 have rank 0
	}
	g.Expect(r.Chance(0, 0.5)).To(BeNumerically("~", 0.625, 0.02))
	g.Expect(r.Chance(1, 0.5)).To(BeNumerically("~", minRankFraction*0.5, 0.01))
	g.Expect(r.Chance(0, 0.9)).To(BeNumerically("~", 1, 0.01))
	g.Expect(r.Chance(1, 0.9)).To(BeNumerically("~", 0.5, 0.05))
	g.Expect(r.Chance(1, 1.2)).To(BeNumerically("==", 1))
}

func TestReturningCallersAreRecognised(t *testing.T) {
	g := NewWithT(t)
	var timeouts Timeouts
	for range 20 {
		g.Expect(timeouts.Add(6 * time.Second)).To(BeZero())
	}
	g.Expect(timeouts.Add(4500 * time.Millisecond)).To(Equal(1500 * time.Millisecond))
	g.Expect(timeouts.Add(5990 * time.Millisecond)).To(BeZero())
	g.Expect(timeouts.Add(9 * time.Second)).To(BeZero())
	// Callers that send many different timeouts have no usual one.
	var mixed Timeouts
	for i := range 50 {
		g.Expect(mixed.Add(time.Duration(1+i%5) * time.Second)).To(BeZero())
	}
}
