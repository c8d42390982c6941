package claim

import (
	"context"
	"sync"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// Fake stores claims in memory. It is for tests of packages that use claims.
type Fake struct {
	mu      sync.Mutex
	records map[Key]*fakeRecord
	// Down makes Begin fail as during an outage of the platform.
	Down bool
}

// fakeRecord is the claim of one key. It implements Claim.
type fakeRecord struct {
	fake     *Fake
	key      Key
	hash     string
	response *Response
}

// Begin claims key, or returns the stored response, or refuses.
func (f *Fake) Begin(_ context.Context, key Key, hash string) (Claim, *Response, error) {
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
	case r.response != nil:
		return nil, r.response, nil
	default:
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown, "an earlier attempt may have run")
	}
}

// Complete implements Claim.
func (r *fakeRecord) Complete(_ context.Context, response Response) error {
	r.fake.mu.Lock()
	defer r.fake.mu.Unlock()
	r.response = &response
	return nil
}

// Release implements Claim.
func (r *fakeRecord) Release(context.Context) error {
	r.fake.mu.Lock()
	defer r.fake.mu.Unlock()
	delete(r.fake.records, r.key)
	return nil
}

// MarkUnknown implements Claim. The record stays claimed, so repeats are refused.
func (r *fakeRecord) MarkUnknown(context.Context) error { return nil }
