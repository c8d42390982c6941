package claim

import (
	"context"
	"sync"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// Fake keeps claims in memory. It is for tests of packages that use claims.
type Fake struct {
	mu      sync.Mutex
	records map[Key]*fakeRecord
	// Down makes Begin fail as in an outage of the platform.
	Down bool
}

type fakeRecord struct {
	fake   *Fake
	key    Key
	hash   string
	answer *Answer
}

// Begin claims key, or returns the stored answer, or refuses.
func (f *Fake) Begin(_ context.Context, key Key, hash string) (Claim, *Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Down {
		return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonPlatform, "the platform does not answer")
	}
	r, found := f.records[key]
	switch {
	case !found:
		if f.records == nil {
			f.records = make(map[Key]*fakeRecord)
		}
		r = &fakeRecord{fake: f, key: key, hash: hash}
		f.records[key] = r
		return r, nil, nil
	case r.hash != hash:
		return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonKeyReused, "the key was used for another request")
	case r.answer != nil:
		return nil, r.answer, nil
	default:
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown, "an earlier attempt may have run")
	}
}

// Answered implements Claim.
func (r *fakeRecord) Answered(_ context.Context, answer Answer) error {
	r.fake.mu.Lock()
	defer r.fake.mu.Unlock()
	r.answer = &answer
	return nil
}

// Released implements Claim.
func (r *fakeRecord) Released(context.Context) error {
	r.fake.mu.Lock()
	defer r.fake.mu.Unlock()
	delete(r.fake.records, r.key)
	return nil
}

// Unknown implements Claim. The record stays claimed, which refuses repeats.
func (r *fakeRecord) Unknown(context.Context) error { return nil }
