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

const firstNote = `{"id":"n1","base":0,"added":{
"services":[{"name":"llm","kind":"model","pool":"engines","version":"v1"},{"name":"desk","kind":"plain","pool":"desk","nonIdempotent":["POST /deposits"]}],
"organisations":[{"name":"lodge","keyHashes":["` + keyHash + `"],"services":["llm"]}],
"groups":[{"name":"g1","service":"llm","size":4,"fabricDomain":"f1"}]}}`

const keyHash = "0000000000000000000000000000000000000000000000000000000000000001"

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

func groupNote(id string, base int, op, name string, size int) string {
	return fmt.Sprintf(`{"id":%q,"base":%d,%q:{"groups":[{"name":%q,"service":"llm","size":%d,"fabricDomain":"f1"}]}}`,
		id, base, op, name, size)
}

var _ = Describe("Parse", func() {
	DescribeTable("reports the refused field", // Guards against a mistake that is accepted or reported without its field.
		func(text, field string) {
			_, err := release.Parse([]byte(text))
			Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
			Expect(verdict.Of(err).Field).To(Equal(field))
		},
		Entry("unknown field", `{"id":"n","base":0,"added":{"groups":[{"name":"a","nodes":1}]}}`, "added.groups[0].nodes"),
		Entry("field in another case", `{"ID":"n"}`, "ID"),
		Entry("field twice", `{"id":"n","id":"m"}`, "id"),
		Entry("size out of range", groupNote("n", 0, "added", "g1", 65), "added.groups[0].size"),
		Entry("wrong type", `{"id":"n","base":0,"added":{"groups":[{"name":"a","size":"4"}]}}`, "added.groups[0].size"),
		Entry("invalid name", groupNote("n", 0, "added", "G1", 4), "added.groups[0].name"),
		Entry("entry twice", `{"id":"n","base":0,"withdrawn":{"groups":["a","a"]}}`, "withdrawn.groups[1]"),
		Entry("trailing data", groupNote("n", 0, "added", "g1", 4)+`{}`, ""),
		Entry("null", `{"id":"n","added":null}`, "added"),
		Entry("call pattern that matches no request", strings.ReplaceAll(firstNote, "POST /deposits", "POST /a/../b"), "added.services[1].nonIdempotent[0]"),
		Entry("invalid key hash", strings.ReplaceAll(firstNote, keyHash, "ab"), "added.organisations[0].keyHashes[0]"),
	)

	It("refuses an oversized note", func() {
		// Guards against unbounded work for one request of an operator.
		_, err := release.Parse(make([]byte, release.MaxSize+1))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonTooLarge))
	})
})

var _ = Describe("Apply", func() {
	It("merges notes with an old base and reports the entry of a conflict", func() {
		// Guards against an operator's change that overwrites another operator's change
		// or withdrawal of the same entry.
		c := mustApply(fleet.Configuration{}, firstNote)
		Expect(c.Revision).To(BeEquivalentTo(1))
		c = mustApply(c, groupNote("n2", 1, "changed", "g1", 8))
		c = mustApply(c, groupNote("n3", 1, "added", "g2", 2))
		Expect(c.Group("g1").Changed).To(BeEquivalentTo(2))
		Expect(c.Group("g2").Changed).To(BeEquivalentTo(3))

		_, err := apply(c, groupNote("n4", 1, "changed", "g1", 2))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonConflict))
		Expect(err.Error()).To(ContainSubstring("groups/g1"))

		c = mustApply(c, `{"id":"n5","base":3,"withdrawn":{"groups":["g2"]}}`)
		_, err = apply(c, groupNote("n6", 3, "changed", "g2", 2))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonConflict))
		_, err = apply(c, groupNote("n6", 3, "added", "g2", 2))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonConflict))
	})

	It("returns the current configuration for a repeated note and refuses a reused ID", func() {
		// Guards against a note that is applied twice because it was submitted again
		// after its response was lost.
		c := mustApply(fleet.Configuration{}, firstNote)
		Expect(mustApply(c, firstNote)).To(Equal(c))
		_, err := apply(c, groupNote("n1", 1, "added", "g9", 2))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonKeyReused))
	})

	It("refuses bases that are too old or too new", func() {
		// Guards against conflicts that are not detected because the tombstones have
		// been dropped.
		c := mustApply(fleet.Configuration{}, firstNote)
		for i := range release.HistoryLength + 1 {
			c = mustApply(c, groupNote(fmt.Sprintf("m%d", i), int(c.Revision), "changed", "g1", 1+i%8))
		}
		Expect(c.Notes).To(HaveLen(release.HistoryLength))
		for _, base := range []int{1, int(c.Revision) + 1} {
			_, err := apply(c, groupNote("late", base, "added", "g9", 2))
			Expect(verdict.Of(err).Field).To(Equal("base"))
		}
	})

	DescribeTable("checks references in the merged configuration", // Guards against groups and organisations that refer to services that do not exist.
		func(text, field string) {
			c := mustApply(fleet.Configuration{}, firstNote)
			_, err := apply(c, text)
			Expect(verdict.Of(err).Field).To(Equal(field))
		},
		Entry("withdrawn service in use", `{"id":"n","base":1,"withdrawn":{"services":["llm"]}}`, "withdrawn.services[0]"),
		Entry("unknown service", strings.ReplaceAll(groupNote("n", 1, "added", "g2", 2), "llm", "nil"), "added.groups[0].service"),
		Entry("group of a plain service", strings.ReplaceAll(groupNote("n", 1, "added", "g2", 2), "llm", "desk"), "added.groups[0].service"),
		Entry("key of another organisation", `{"id":"n","base":1,"added":{"organisations":[{"name":"alpha","keyHashes":["`+keyHash+`"]}]}}`, "added.organisations[0].keyHashes"),
		Entry("added entry exists", groupNote("n", 1, "added", "g1", 2), "added.groups[0]"),
		Entry("changed entry does not exist", groupNote("n", 1, "changed", "g7", 2), "changed.groups[0]"),
	)

	It("lists all problems at once", func() {
		// Guards against errors that list only one mistake, so that an operator needs
		// one attempt per mistake.
		_, err := release.Parse([]byte(strings.ReplaceAll(firstNote, `"size":4,"fabricDomain":"f1"`, `"size":0,"fabricDomain":""`)))
		Expect(err.Error()).To(And(ContainSubstring("groups[0].size"), ContainSubstring("groups[0].fabricDomain")))
	})

	It("lists changed fields in a diff", func() {
		// Guards against a diff that omits a change.
		c := mustApply(fleet.Configuration{}, firstNote)
		changes := release.Diff(c, parse(groupNote("n2", 1, "changed", "g1", 8)))
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].String()).To(ContainSubstring("groups/g1  size 4 -> 8"))
	})
})

// fakeStore is a platform with one object and injected failures.
type fakeStore struct {
	mu      sync.Mutex
	value   []byte
	version object.Version
	getErr  error
	// update is called before each write. If write is false, the write is dropped. err
	// is returned as the result of the update.
	update func() (write bool, err error)
}

func (s *fakeStore) Get(context.Context, object.Key) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.getErr != nil {
		return object.Object{}, s.getErr
	}
	if s.version == 0 {
		return object.Object{}, object.ErrNotFound
	}
	return object.Object{Key: release.ConfigurationKey, Version: s.version, Value: s.value}, nil
}

func (s *fakeStore) Update(_ context.Context, _ object.Key, expected object.Version, value []byte) (object.Version, error) {
	write, result := true, error(nil)
	if s.update != nil {
		write, result = s.update()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if write && expected != s.version {
		return 0, object.ErrConflict
	}
	if write {
		s.version, s.value = s.version+1, value
	}
	return s.version, result
}

type fakeGate struct{ err error }

func (g *fakeGate) MayAccept() error { return g.err }

func (g *fakeGate) Prepare(context.Context, fleet.Revision) error { return g.err }

type recordingPublisher struct{ versions []uint64 }

func (p *recordingPublisher) Publish(_ string, version uint64, _ []byte) {
	p.versions = append(p.versions, version)
}

var _ = Describe("Applier", func() {
	var (
		s   *fakeStore
		g   *fakeGate
		pub *recordingPublisher
		a   *release.Applier
	)
	BeforeEach(func() {
		s, g, pub = &fakeStore{}, &fakeGate{}, &recordingPublisher{}
		a = release.NewApplier(release.Config{Store: s, Gate: g, Publisher: pub, Backoff: time.Microsecond})
	})

	It("applies and publishes a note", func() {
		// Guards against an accepted revision that is not published to the nodes.
		Expect(a.Apply(context.Background(), parse(firstNote), "ops")).To(Equal(release.Result{Revision: 1}))
		Expect(pub.versions).To(Equal([]uint64{1}))
		var stored fleet.Configuration
		Expect(json.Unmarshal(s.value, &stored)).To(Succeed())
		Expect(stored.Notes[0].Operator).To(Equal("ops"))
		Expect(a.Apply(context.Background(), parse(firstNote), "ops")).To(Equal(release.Result{Revision: 1, Repeated: true}))
	})

	It("publishes the revision, not the version of the platform's object", func() {
		// Guards against a replica that ignores a revision because the object's version,
		// which counts all writes, was published in place of the revision.
		Expect(a.Apply(context.Background(), parse(firstNote), "ops")).To(Equal(release.Result{Revision: 1}))
		s.version = 40
		Expect(a.Apply(context.Background(), parse(firstNote), "ops")).To(Equal(release.Result{Revision: 1, Repeated: true}))
		Expect(pub.versions).To(Equal([]uint64{1, 1}))
	})

	DescribeTable("determines the outcome of an ambiguous update by reading", // Guards against a write that takes effect but is reported as refused, or is applied twice.
		func(write bool) {
			calls := 0
			s.update = func() (bool, error) {
				calls++
				if calls == 1 {
					return write, object.ErrAmbiguous
				}
				return true, nil
			}
			result, err := a.Apply(context.Background(), parse(firstNote), "ops")
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Revision).To(BeEquivalentTo(1))
			Expect(s.version).To(BeEquivalentTo(1))
		},
		Entry("the write took effect", true),
		Entry("the write did not take effect", false),
	)

	It("returns may-have-run if the outcome of an update cannot be determined", func() {
		// Guards against the verdict NotRun for a write that may still take effect.
		s.update = func() (bool, error) {
			s.getErr, g.err = object.ErrUnavailable, errors.New("no majority")
			return true, object.ErrAmbiguous
		}
		_, err := a.Apply(context.Background(), parse(firstNote), "ops")
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
	})

	It("returns not-run if a newer version shows that a lost write cannot take effect", func() {
		// Guards against the verdict MayHaveRun although a read shows that the write
		// can no longer take effect.
		calls := 0
		s.update = func() (bool, error) {
			if calls++; calls == 1 {
				c := mustApply(fleet.Configuration{}, strings.ReplaceAll(firstNote, `"n1"`, `"other"`))
				s.value, _ = json.Marshal(&c)
				s.version = 1
				return false, object.ErrAmbiguous
			}
			return true, nil
		}
		_, err := a.Apply(context.Background(), parse(firstNote), "ops")
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonConflict))
	})

	It("refuses notes if the gate does or the platform is behind the known revision", func() {
		// Guards against notes that are accepted on the minority side of a partition or
		// on top of a platform that was restored from a backup.
		g.err = errors.New("no majority")
		_, err := a.Apply(context.Background(), parse(firstNote), "ops")
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
		g.err = nil
		a = release.NewApplier(release.Config{Store: s, Gate: g, KnownRevision: func() fleet.Revision { return 7 }})
		_, err = a.Apply(context.Background(), parse(firstNote), "ops")
		Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonUnconfirmed))
		Expect(s.version).To(BeZero())
	})

	It("accepts all of several concurrent notes", func() {
		// Guards against notes that are lost because of version conflicts.
		_, err := a.Apply(context.Background(), parse(firstNote), "ops")
		Expect(err).NotTo(HaveOccurred())
		a = release.NewApplier(release.Config{Store: s, Gate: g, MaxAttempts: 100, Backoff: time.Millisecond})
		var wait sync.WaitGroup
		for i := range 8 {
			note := parse(groupNote(fmt.Sprintf("r%d", i), 1, "added", fmt.Sprintf("r%d", i), 2))
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
