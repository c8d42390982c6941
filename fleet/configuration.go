package fleet

import "time"

// Time limits of requests.
const (
	// DefaultCompletionTimeout is the time limit of a completion of a service without a
	// timeout of its own.
	DefaultCompletionTimeout = 5 * time.Minute
	// MaxTimeout is the longest timeout that a service may have.
	MaxTimeout = 10 * time.Minute
)

// Revision numbers accepted configurations, from 1. Revision 0 is the empty
// configuration before the first release note.
type Revision uint64

// Kind is the kind of a service; it determines how its backend servers are used.
type Kind string

const (
	// KindModel is a service of model engines that run in groups.
	KindModel Kind = "model"
	// KindPlain is a service of independent HTTP servers.
	KindPlain Kind = "plain"
)

// Configuration is the accepted configuration that operators declare with
// release notes. It is stored, published and replaced as one value.
type Configuration struct {
	Revision      Revision       `json:"revision"`
	Services      []Service      `json:"services"`
	Organisations []Organisation `json:"organisations"`
	Groups        []Group        `json:"groups"`
	// Notes are the most recently accepted release notes, oldest first.
	Notes []NoteRecord `json:"notes"`
	// Withdrawn are the tombstones of recently removed entries. They are used to
	// detect conflicts with notes that are based on older revisions.
	Withdrawn []Tombstone `json:"withdrawn,omitempty"`
}

// Service is a configured service that callers can send requests to.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Pool is the pool of the instances that may run the service, as in the
	// instance list.
	Pool string `json:"pool"`
	// Version is the model version that engines run; empty for plain services.
	Version string `json:"version,omitempty"`
	// NonIdempotent lists the calls of a plain service that must not be repeated,
	// each as "METHOD /path-prefix".
	NonIdempotent []string `json:"nonIdempotent,omitempty"`
	// TimeoutMs is the time limit of a request in milliseconds; 0 means the
	// default.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
	// Priority orders services when there are too few instances; groups of a
	// higher priority come first.
	Priority int `json:"priority,omitempty"`
	// Changed is the revision in which the entry was last changed.
	Changed Revision `json:"changed,omitempty"`
}

// Organisation is a customer of the system.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are the hex SHA-256 hashes of the organisation's API keys.
	KeyHashes []string `json:"keyHashes"`
	// Services lists the services that it may use; empty means all.
	Services []string `json:"services,omitempty"`
	// TokensPerSecond limits the rate of prompt and output tokens across all
	// nodes; 0 means no limit.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
	// Weight is its weight in the division of capacity when a service is
	// overloaded; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// Priority is the highest priority that its requests may have.
	Priority int `json:"priority,omitempty"`
	// Changed is the revision in which the entry was last changed.
	Changed Revision `json:"changed,omitempty"`
}

// Group is a configured group: one replica of a model service in one fabric
// domain. The system chooses the instances.
type Group struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Size is the number of members.
	Size         int    `json:"size"`
	FabricDomain string `json:"fabricDomain"`
	// Changed is the revision in which the entry was last changed.
	Changed Revision `json:"changed,omitempty"`
}

// NoteRecord is the record of an accepted release note.
type NoteRecord struct {
	ID string `json:"id"`
	// Revision is the configuration revision that the note created.
	Revision Revision `json:"revision"`
	// ContentHash is the hex SHA-256 of the note. It distinguishes a repeated
	// note from a different note with the same ID.
	ContentHash string `json:"contentHash"`
	// Operator is the name of the operator who applied the note.
	Operator string `json:"operator"`
	Reason   string `json:"reason,omitempty"`
	// AcceptedAt is the wall-clock time of the accepting node, in RFC 3339
	// format. It is informational only.
	AcceptedAt string `json:"acceptedAt"`
}

// Tombstone is the record of a withdrawn entry.
type Tombstone struct {
	// Entry is "services/<name>", "organisations/<name>" or "groups/<name>".
	Entry string `json:"entry"`
	// Changed is the revision in which the entry was withdrawn.
	Changed Revision `json:"changed"`
}

// Service returns the service with the given name, or nil.
func (c *Configuration) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Organisation returns the organisation with the given name, or nil.
func (c *Configuration) Organisation(name string) *Organisation {
	for i := range c.Organisations {
		if c.Organisations[i].Name == name {
			return &c.Organisations[i]
		}
	}
	return nil
}

// Group returns the group with the given name, or nil.
func (c *Configuration) Group(name string) *Group {
	for i := range c.Groups {
		if c.Groups[i].Name == name {
			return &c.Groups[i]
		}
	}
	return nil
}
