package object

import "fmt"

// Version is the version that the platform gives an object. It grows with every write. A
// platform that was restored from an older copy gives out revisions again; it counts its
// eras, and a version of a later era is larger than all of earlier ones.
type Version uint64

const (
	// revisionBits is the number of low bits of a version that hold the revision. The others
	// hold the era.
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	// MaxEra is the largest era.
	MaxEra = 1<<(64-revisionBits) - 1
)

// NewVersion returns the version of a revision in an era.
func NewVersion(era, revision uint64) (Version, error) {
	if era > MaxEra {
		return 0, fmt.Errorf("era %d exceeds %d", era, uint64(MaxEra))
	}
	if revision > maxRevision {
		return 0, fmt.Errorf("revision %d exceeds %d", revision, uint64(maxRevision))
	}
	return Version(era<<revisionBits | revision), nil
}

// Era returns the era of a version; 0 if the platform counts none.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the revision within the era; 0 means that the object does not exist.
func (v Version) Revision() uint64 { return uint64(v) & maxRevision }

// Exists reports whether the object exists.
func (v Version) Exists() bool { return v.Revision() != 0 }
