package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

// clock is a clock that tests advance.
type clock struct{ time time.Time }

func (c *clock) advance(d time.Duration) { c.time = c.time.Add(d) }

// bench is a ledger with a clock, and counters that make engines and prompts distinct.
type bench struct {
	*Ledger
	*clock
	engines, prompts int
}

func newBench() *bench {
	c := &clock{time: time.Unix(1e9, 0)}
	return &bench{clock: c, Ledger: newLedger(c)}
}

func newLedger(c *clock) *Ledger {
	return NewLedger(Config{Now: func() time.Time { return c.time }}, log.NewNopLogger(), metrics.NewRegistry())
}

// prompt returns a prompt with shared parts and one of its own.
func (b *bench) prompt(shared ...string) []string {
	b.prompts++
	return append(shared, fmt.Sprint("own-", b.prompts))
}

// crash makes a new engine crash under prompts and lets half a second pass.
func (b *bench) crash(prompts ...[]string) {
	b.engines++
	for _, p := range prompts {
		b.Crashed(fmt.Sprint("engine-", b.engines), 1, Request{ID: p[len(p)-1], Prompt: p}, b.time)
	}
	b.advance(700 * time.Millisecond)
	b.Report()
}

func (b *bench) refuses(parts ...string) bool { return b.Match(append(parts, "another")) != nil }

var _ = Describe("Ledger", func() {
	var b *bench
	BeforeEach(func() { b = newBench() })

	It("refuses a part after three crashes under three prompts", func() {
		// Guards against engines that crash one after the other.
		for range 3 {
			Expect(b.refuses("deadly")).To(BeFalse())
			b.crash(b.prompt("deadly"))
		}
		Expect(b.refuses("deadly")).To(BeTrue())
		Expect(b.refuses("first", "deadly", "second")).To(BeTrue())
		Expect(b.Match([]string{"deadly"})).To(BeNil())
	})

	It("blames no part for crashes under repeats of one request", func() {
		// Guards against refusing sound requests that share all parts with a deadly one.
		p := b.prompt("shared")
		for range 8 {
			b.crash(p)
			Expect(b.refuses("shared")).To(BeFalse())
		}
		b.crash(b.prompt("shared"))
		Expect(b.refuses("shared")).To(BeTrue())
	})

	It("never blames the last part of a prompt", func() {
		// Guards against refusing a caller's session because engines crashed under it.
		for range 8 {
			b.crash([]string{"session"})
		}
		Expect(b.refuses("session")).To(BeFalse())
		Expect(b.Report()).To(BeNil())
	})

	It("doesn't blame a part that sound requests share", func() {
		// Guards against refusing sound requests whose first part precedes the deadly one.
		for range 6 {
			b.crash(b.prompt("shared", "deadly"), b.prompt("beside"))
			b.Sound(b.prompt("shared"))
			b.Sound(b.prompt("beside"))
			b.advance(time.Second)
		}
		Expect(b.refuses("shared", "deadly")).To(BeTrue())
		Expect(b.refuses("shared")).To(BeFalse())
		Expect(b.refuses("beside")).To(BeFalse())
	})

	It("tells the deadly part from one beside it by earlier sound responses", func() {
		// Guards against blaming a shared part because its sound requests fail, too, while
		// engines crash.
		b.Sound(b.prompt("shared"))
		b.advance(5 * time.Second)
		for range 4 {
			b.crash(b.prompt("shared", "deadly"))
		}
		Expect(b.refuses("shared", "deadly")).To(BeTrue())
		Expect(b.refuses("shared")).To(BeFalse())
	})

	It("doesn't count a bystander as another prompt with a part", func() {
		// Guards against blaming the part that a sound request at a crashed engine shares with
		// the deadly request (two-deadly-parts on lencana-fleet).
		b.Sound(b.prompt("shared"))
		b.advance(time.Second)
		deadly := b.prompt("shared", "deadly")
		for range 3 {
			b.crash(deadly)
		}
		b.crash(deadly, b.prompt("shared"))
		Expect(b.refuses("shared")).To(BeFalse())
		b.crash(b.prompt("shared", "deadly"))
		Expect(b.refuses("shared", "deadly")).To(BeTrue())
		Expect(b.refuses("shared")).To(BeFalse())
	})

	It("doesn't take a quarantine again that was lifted", func() {
		// Guards against a sound part that nodes put in quarantine for each other.
		other := newLedger(b.clock)
		for range 4 {
			b.crash(b.prompt("mended"))
		}
		stale := b.Report()
		b.advance(300 * time.Millisecond)
		// Another node came to the same decision a moment later.
		stale.Notices[0].Since += 300
		other.Absorb(stale)
		b.Sound(b.prompt("mended"))
		Expect(b.refuses("mended")).To(BeFalse())
		later := other.Report()
		b.Absorb(later)
		Expect(b.refuses("mended")).To(BeFalse())
		other.Absorb(b.Report())
		Expect(other.Match([]string{"mended", "x"})).To(BeNil())
	})

	It("blames a part that was sound before, with more evidence", func() {
		// Guards against a part that begins to crash engines, and is never refused.
		b.Sound(b.prompt("turned"))
		b.advance(time.Second)
		for i := range 5 {
			Expect(b.refuses("turned")).To(BeFalse(), "after %d crashes", i)
			b.crash(b.prompt("turned"))
		}
		Expect(b.refuses("turned")).To(BeTrue())
	})

	It("refuses only requests with all parts that can't be told apart", func() {
		// Guards against blaming a part that never occurred without the deadly one.
		for range 4 {
			b.crash(b.prompt("with", "deadly"))
		}
		Expect(b.refuses("with", "deadly")).To(BeTrue())
		Expect(b.refuses("with")).To(BeFalse())
		Expect(b.refuses("deadly")).To(BeFalse())
		b.crash(b.prompt("other", "deadly"))
		Expect(b.refuses("other", "deadly")).To(BeTrue())
		Expect(b.refuses("with")).To(BeFalse())
	})

	It("blames no part when many engines crash at once for another reason", func() {
		// Guards against refusing a popular part because a fabric domain lost power.
		for i := range 12 {
			b.Crashed(fmt.Sprint("engine-", i), 1, Request{ID: fmt.Sprint(i), Prompt: b.prompt("popular")}, b.time.Add(time.Duration(i)*10*time.Millisecond))
		}
		for range 40 {
			b.advance(200 * time.Millisecond)
			b.Report()
			Expect(b.refuses("popular")).To(BeFalse())
		}
	})

	It("finds two deadly parts at a time, one of them rare", func() {
		// Guards against the evidence of one part hiding that of another.
		for i := range 9 {
			b.crash(b.prompt("shared", "frequent"))
			b.Sound(b.prompt("shared"))
			if i%3 == 0 {
				b.crash(b.prompt("shared", "rare"), b.prompt("shared", "beside"))
				b.Sound(b.prompt("shared", "beside"))
			}
		}
		Expect(b.refuses("shared", "frequent")).To(BeTrue())
		Expect(b.refuses("shared", "rare")).To(BeTrue())
		Expect(b.refuses("shared", "beside")).To(BeFalse())
		Expect(b.refuses("shared")).To(BeFalse())
	})

	It("lets a quarantine expire and renews it after one more crash", func() {
		// Guards against a part that is refused for good, and against five more crashes
		// after each quarantine.
		for range 4 {
			b.crash(b.prompt("deadly"))
		}
		Expect(b.refuses("deadly")).To(BeTrue())
		b.advance(DefaultDuration)
		b.Report()
		Expect(b.refuses("deadly")).To(BeFalse())
		b.crash(b.prompt("deadly"))
		Expect(b.refuses("deadly")).To(BeTrue())
	})

	It("lifts a quarantine when a response with the part is sound", func() {
		// Guards against refusing a part that doesn't crash engines any more.
		for range 4 {
			b.crash(b.prompt("mended"))
		}
		Expect(b.refuses("mended")).To(BeTrue())
		b.advance(time.Second)
		b.Sound(b.prompt("mended"))
		Expect(b.refuses("mended")).To(BeFalse())
	})

	It("doesn't prolong a quarantine that nodes report to each other", func() {
		// Guards against a quarantine that nodes renew for each other for good.
		other := newLedger(b.clock)
		for range 4 {
			b.crash(b.prompt("deadly"))
		}
		for range int(DefaultDuration/(100*time.Millisecond)) + 20 {
			other.Absorb(b.Report())
			b.Absorb(other.Report())
			b.advance(100 * time.Millisecond)
		}
		Expect(b.refuses("deadly")).To(BeFalse())
		Expect(other.Match([]string{"deadly", "x"})).To(BeNil())
	})

	It("keeps its size and that of its reports bounded", func() {
		// Guards against memory and messages that grow with the number of crashes.
		for i := range 3000 {
			b.Crashed(fmt.Sprint("engine-", i), 1, Request{ID: fmt.Sprint(i), Prompt: b.prompt(fmt.Sprint("a", i), fmt.Sprint("b", i%400), "c")}, b.time)
			b.Sound(b.prompt(fmt.Sprint("sound", i), fmt.Sprint("b", i%7)))
			b.advance(5 * time.Millisecond)
			Expect(b.Report().Validate()).To(Succeed())
		}
		Expect(len(b.records)).To(BeNumerically("<=", maxRecords))
		Expect(len(b.notices)).To(BeNumerically("<=", maxNotices+maxExpired))
		Expect(len(b.ownStrikes)).To(BeNumerically("<=", maxOwnStrikes+maxPromptParts))
		for _, r := range b.records {
			Expect(len(r.strikes)).To(BeNumerically("<=", maxRecordStrikes))
		}
	})

	It("restores quarantines from the platform's store", func() {
		// Guards against nodes that forget what crashes engines when all restart.
		for range 4 {
			b.crash(b.prompt("shared", "deadly"))
		}
		data, err := Encode(b.Current())
		Expect(err).NotTo(HaveOccurred())
		b.advance(time.Minute)
		report, err := Decode(data, b.time)
		Expect(err).NotTo(HaveOccurred())
		Expect(SameParts(b.Current(), report)).To(BeTrue())
		restarted := newLedger(b.clock)
		restarted.Absorb(report)
		Expect(restarted.Match([]string{"shared", "deadly", "x"})).NotTo(BeNil())
		b.advance(DefaultDuration)
		restarted.Report()
		Expect(restarted.Match([]string{"shared", "deadly", "x"})).To(BeNil())
	})

	It("names the invalid field of stored quarantines", func() {
		// Guards against an error that doesn't say what to mend.
		_, err := Decode([]byte(`{"quarantines":[{"parts":["xyz"],"until":99999999999999}]}`), b.time)
		Expect(err).To(MatchError(ContainSubstring("quarantines[0].parts[0]")))
		_, err = Decode([]byte(`{"quarantines":[{"parts":[],"until":99999999999999}]}`), b.time)
		Expect(err).To(MatchError(ContainSubstring("quarantines[0].parts: 0")))
		_, err = Decode([]byte(`[`), b.time)
		Expect(err).To(HaveOccurred())
	})

	It("loses no other stored quarantine because of an odd one", func() {
		// Guards against nodes that forget what crashes engines because another writer
		// left an odd item among the quarantines.
		for range 4 {
			b.crash(b.prompt("shared", "deadly"))
		}
		data, err := Encode(b.Current())
		Expect(err).NotTo(HaveOccurred())
		sound := strings.TrimSuffix(strings.TrimPrefix(string(data), `{"quarantines":[`), `]}`)
		for _, odd := range []string{
			`7`, `null`, `{"parts":["xyz"],"until":99999999999999}`, `{"parts":["7"],"until":1e999}`, `{"parts":["7"],"crashes":-1,"until":99999999999999}`,
			`{"parts":["7"],"since":99999999999999,"until":99999999999999}`, `{"parts":["7"],"since":-9223372036854775808,"until":99999999999999}`,
			`{"parts":["1","2","3","4"],"until":99999999999999}`, strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
			`{"parts":["` + strings.Repeat("x", 1<<20) + `"],"until":99999999999999}`,
		} {
			report, err := Decode([]byte(`{"quarantines":[`+odd+`,`+sound+`,`+odd+`],"more":`+odd+`}`), b.time)
			Expect(err).To(MatchError(ContainSubstring("quarantines[0].")))
			Expect(len(err.Error())).To(BeNumerically("<", 1000))
			Expect(SameParts(b.Current(), report)).To(BeTrue())
		}
	})
})
