package release_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/release"
	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestRelease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "release")
}

const first = `{"id":"n1","base":0,"added":{
"services":[{"name":"llm","kind":"model","pool":"engines","version":"v1"},{"name":"desk","kind":"plain","pool":"desk","nonIdempotent":["POST /deposits"]}],
"organisations":[{"name":"lodge","keyHashes":["` + hash + `"],"services":["llm"]}],
"groups":[{"name":"g1","service":"llm","size":4,"fabricDomain":"f1"}]}}`

const hash = "0000000000000000000000000000000000000000000000000000000000000001"

func parse(text string) release.Note {
	GinkgoHelper()
	note, err := release.Parse([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return note
}

func apply(c fleet.Configuration, text string) (fleet.Configuration, error) {
	GinkgoHelper()
	return release.Apply(c, parse(text), release.Meta{Operator: "ops", At: time.Unix(0, 0)})
}

func mustApply(c fleet.Configuration, text string) fleet.Configuration {
	GinkgoHelper()
	next, err := apply(c, text)
	Expect(err).NotTo(HaveOccurred())
	return next
}

func group(id string, base int, op, name string, size int) string {
	return fmt.Sprintf(`{"id":%q,"base":%d,%q:{"groups":[{"name":%q,"service":"llm","size":%d,"fabricDomain":"f1"}]}}`,
		id, base, op, name, size)
}

var _ = Describe("Parse", func() {
	DescribeTable("names the refused field", // Guards against a typing error that is accepted or reported without its place.
		func(text, field string) {
			_, err := release.Parse([]byte(text))
			Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
			Expect(verdict.Of(err).Field).To(Equal(field))
		},
		Entry("unknown field", `{"id":"n","base":0,"added":{"groups":[{"name":"a","nodes":1}]}}`, "added.groups[0].nodes"),
		Entry("field in another case", `{"ID":"n"}`, "ID"),
		Entry("field twice", `{"id":"n","id":"m"}`, "id"),
		Entry("size out of range", group("n", 0, "added", "g1", 65), "added.groups[0].size"),
		Entry("wrong type", `{"id":"n","base":0,"added":{"groups":[{"name":"a","size":"4"}]}}`, "added.groups[0].size"),
		Entry("name", group("n", 0, "added", "G1", 4), "added.groups[0].name"),
		Entry("entry twice", `{"id":"n","base":0,"withdrawn":{"groups":["a","a"]}}`, "withdrawn.groups[1]"),
		Entry("trailing data", group("n", 0, "added", "g1", 4)+`{}`, ""),
		Entry("null", `{"id":"n","added":null}`, "added"),
		Entry("pattern that matches nothing", strings.ReplaceAll(first, "POST /deposits", "POST /a/../b"), "added.services[1].nonIdempotent[0]"),
		Entry("key hash", strings.ReplaceAll(first, hash, "ab"), "added.organisations[0].keyHashes[0]"),
	)

	It("refuses an oversized note", func() {
		// Guards against unbounded work for one operator request.
		_, err := release.Parse(make([]byte, release.MaxSize+1))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonTooLarge))
	})
})

var _ = Describe("Apply", func() {
	It("merges old-base notes and names the entry of a conflict", func() {
		// Guards against a lost update between operators, also by withdrawal.
		c := mustApply(fleet.Configuration{}, first)
		Expect(c.Revision).To(BeEquivalentTo(1))
		c = mustApply(c, group("n2", 1, "changed", "g1", 8))
		c = mustApply(c, group("n3", 1, "added", "g2", 2))
		Expect(c.Group("g1").Changed).To(BeEquivalentTo(2))
		Expect(c.Group("g2").Changed).To(BeEquivalentTo(3))

		_, err := apply(c, group("n4", 1, "changed", "g1", 2))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonConflict))
		Expect(err.Error()).To(ContainSubstring("groups/g1"))

		c = mustApply(c, `{"id":"n5","base":3,"withdrawn":{"groups":["g2"]}}`)
		_, err = apply(c, group("n6", 3, "changed", "g2", 2))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonConflict))
		_, err = apply(c, group("n6", 3, "added", "g2", 2))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonConflict))
	})

	It("answers a repeated note and refuses a reused identity", func() {
		// Guards against applying a note twice after a lost answer.
		c := mustApply(fleet.Configuration{}, first)
		Expect(mustApply(c, first)).To(Equal(c))
		_, err := apply(c, group("n1", 1, "added", "g9", 2))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonKeyReused))
	})

	It("refuses bases that are too old or too new", func() {
		// Guards against judging conflicts without the tombstones they need.
		c := mustApply(fleet.Configuration{}, first)
		for i := range release.History + 1 {
			c = mustApply(c, group(fmt.Sprintf("m%d", i), int(c.Revision), "changed", "g1", 1+i%8))
		}
		Expect(c.Notes).To(HaveLen(release.History))
		for _, base := range []int{1, int(c.Revision) + 1} {
			_, err := apply(c, group("late", base, "added", "g9", 2))
			Expect(verdict.Of(err).Field).To(Equal("base"))
		}
	})

	DescribeTable("checks references on the merged whole", // Guards against groups and organisations that point to nothing.
		func(text, field string) {
			c := mustApply(fleet.Configuration{}, first)
			_, err := apply(c, text)
			Expect(verdict.Of(err).Field).To(Equal(field))
		},
		Entry("service in use", `{"id":"n","base":1,"withdrawn":{"services":["llm"]}}`, "withdrawn.services[0]"),
		Entry("unknown service", strings.ReplaceAll(group("n", 1, "added", "g2", 2), "llm", "nil"), "added.groups[0].service"),
		Entry("plain service", strings.ReplaceAll(group("n", 1, "added", "g2", 2), "llm", "desk"), "added.groups[0].service"),
		Entry("shared key", `{"id":"n","base":1,"added":{"organisations":[{"name":"alpha","keyHashes":["`+hash+`"]}]}}`, "added.organisations[0].keyHashes"),
		Entry("exists", group("n", 1, "added", "g1", 2), "added.groups[0]"),
		Entry("does not exist", group("n", 1, "changed", "g7", 2), "changed.groups[0]"),
	)

	It("lists all problems at once", func() {
		// Guards against operators who learn of one mistake per attempt.
		_, err := release.Parse([]byte(strings.ReplaceAll(first, `"size":4,"fabricDomain":"f1"`, `"size":0,"fabricDomain":""`)))
		Expect(err.Error()).To(And(ContainSubstring("groups[0].size"), ContainSubstring("groups[0].fabricDomain")))
	})

	It("shows changed fields", func() {
		// Guards against a diff that hides a change from the operator.
		c := mustApply(fleet.Configuration{}, first)
		changes := release.Diff(c, parse(group("n2", 1, "changed", "g1", 8)))
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].String()).To(ContainSubstring("groups/g1  size 4 -> 8"))
	})
})

// store is a scripted platform with one object.
type store struct {
	mu      sync.Mutex
	value   []byte
	version object.Version
	getErr  error
	// update runs before each write; its error replaces the answer, and
	// write=false drops the write.
	update func() (write bool, err error)
}

func (s *store) Get(context.Context, object.Key) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.getErr != nil {
		return object.Object{}, s.getErr
	}
	if s.version == 0 {
		return object.Object{}, object.ErrNotFound
	}
	return object.Object{Key: release.Key, Version: s.version, Value: s.value}, nil
}

func (s *store) Update(_ context.Context, _ object.Key, expected object.Version, value []byte) (object.Version, error) {
	write, answer := true, error(nil)
	if s.update != nil {
		write, answer = s.update()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if write && expected != s.version {
		return 0, object.ErrConflict
	}
	if write {
		s.version, s.value = s.version+1, value
	}
	return s.version, answer
}

type gate struct{ err error }

func (g *gate) MayAccept() error { return g.err }

func (g *gate) Prepare(context.Context, fleet.Revision) error { return g.err }

type published struct{ versions []uint64 }

func (p *published) Publish(_ string, version uint64, _ []byte) {
	p.versions = append(p.versions, version)
}

var _ = Describe("Applier", func() {
	var (
		s   *store
		g   *gate
		pub *published
		a   *release.Applier
	)
	BeforeEach(func() {
		s, g, pub = &store{}, &gate{}, &published{}
		a = release.NewApplier(release.Config{Store: s, Gate: g, Publisher: pub, Backoff: time.Microsecond})
	})

	It("applies and publishes", func() {
		// Guards against an accepted revision that no node learns.
		Expect(a.Apply(context.Background(), parse(first), "ops")).To(Equal(release.Result{Revision: 1}))
		Expect(pub.versions).To(Equal([]uint64{1}))
		var stored fleet.Configuration
		Expect(json.Unmarshal(s.value, &stored)).To(Succeed())
		Expect(stored.Notes[0].Operator).To(Equal("ops"))
		Expect(a.Apply(context.Background(), parse(first), "ops")).To(Equal(release.Result{Revision: 1, Repeated: true}))
	})

	It("publishes the revision, not the platform's version", func() {
		// Guards against a replica that refuses the own note because the object's
		// version, which counts all writes, is taken for the revision.
		Expect(a.Apply(context.Background(), parse(first), "ops")).To(Equal(release.Result{Revision: 1}))
		s.version = 40
		Expect(a.Apply(context.Background(), parse(first), "ops")).To(Equal(release.Result{Revision: 1, Repeated: true}))
		Expect(pub.versions).To(Equal([]uint64{1, 1}))
	})

	DescribeTable("resolves a lost answer by reading", // Guards against a write that takes effect but is reported as refused, or applied twice.
		func(write bool) {
			calls := 0
			s.update = func() (bool, error) {
				calls++
				if calls == 1 {
					return write, object.ErrAmbiguous
				}
				return true, nil
			}
			result, err := a.Apply(context.Background(), parse(first), "ops")
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Revision).To(BeEquivalentTo(1))
			Expect(s.version).To(BeEquivalentTo(1))
		},
		Entry("the write took effect", true),
		Entry("the write was lost", false),
	)

	It("says may-have-run when the answer cannot be resolved", func() {
		// Guards against "not run" for a write that may still take effect.
		s.update = func() (bool, error) {
			s.getErr, g.err = object.ErrUnavailable, errors.New("no majority")
			return true, object.ErrAmbiguous
		}
		_, err := a.Apply(context.Background(), parse(first), "ops")
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
	})

	It("says not-run after a lost write that a newer version rules out", func() {
		// Guards against an unknown outcome where reading proves the refusal.
		calls := 0
		s.update = func() (bool, error) {
			if calls++; calls == 1 {
				c := mustApply(fleet.Configuration{}, strings.ReplaceAll(first, `"n1"`, `"other"`))
				s.value, _ = json.Marshal(&c)
				s.version = 1
				return false, object.ErrAmbiguous
			}
			return true, nil
		}
		_, err := a.Apply(context.Background(), parse(first), "ops")
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonConflict))
	})

	It("refuses without the gate's consent and behind the known revision", func() {
		// Guards against accepting notes on the minority side of a partition or
		// on a platform that was restored from a backup.
		g.err = errors.New("no majority")
		_, err := a.Apply(context.Background(), parse(first), "ops")
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
		g.err = nil
		a = release.NewApplier(release.Config{Store: s, Gate: g, Known: func() fleet.Revision { return 7 }})
		_, err = a.Apply(context.Background(), parse(first), "ops")
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonUnconfirmed))
		Expect(s.version).To(BeZero())
	})

	It("lets every operator of a race win in turn", func() {
		// Guards against version conflicts that lose a note.
		_, err := a.Apply(context.Background(), parse(first), "ops")
		Expect(err).NotTo(HaveOccurred())
		a = release.NewApplier(release.Config{Store: s, Gate: g, Attempts: 100, Backoff: time.Millisecond})
		var wait sync.WaitGroup
		for i := range 8 {
			note := parse(group(fmt.Sprintf("r%d", i), 1, "added", fmt.Sprintf("r%d", i), 2))
			wait.Go(func() {
				defer GinkgoRecover()
				_, err := a.Apply(context.Background(), note, "ops")
				Expect(err).NotTo(HaveOccurred())
			})
		}
		wait.Wait()
		Expect(s.version).To(BeEquivalentTo(9))
	})
})
