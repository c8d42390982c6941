package fleet

// Revision counts accepted configurations, from 1. Revision 0 is the empty
// configuration that exists before the first release note.
type Revision uint64

// Kind tells how a service's backend servers are used.
type Kind string

const (
	// KindModel is a service of model engines that work in groups.
	KindModel Kind = "model"
	// KindPlain is a service of independent HTTP servers.
	KindPlain Kind = "plain"
)

// Configuration is the whole accepted state that operators declare. It is
// stored, published and replaced as one value.
type Configuration struct {
	Revision      Revision       `json:"revision"`
	Services      []Service      `json:"services"`
	Organisations []Organisation `json:"organisations"`
	Groups        []Group        `json:"groups"`
	// Notes are the newest accepted release notes, oldest first.
	Notes []NoteRecord `json:"notes"`
	// Withdrawn are tombstones of entries that were removed lately, used to
	// detect conflicts with notes written against older revisions.
	Withdrawn []Tombstone `json:"withdrawn,omitempty"`
}

// Service is something callers can ask for.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Pool is the label in the instance list of the instances that may run it.
	Pool string `json:"pool"`
	// Version is the model version that engines run; empty for plain services.
	Version string `json:"version,omitempty"`
	// NonIdempotent lists calls of a plain service that must not be repeated,
	// each as "METHOD /path-prefix".
	NonIdempotent []string `json:"nonIdempotent,omitempty"`
	// TimeoutMs limits one request, in milliseconds; 0 means the default.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
	// Priority weighs the service's groups when instances are short; a higher
	// value is more needed.
	Priority int `json:"priority,omitempty"`
	// Changed is the revision of the entry's last change.
	Changed Revision `json:"changed,omitempty"`
}

// Organisation is a customer of the system.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are hex SHA-256 hashes of the keys that callers present.
	KeyHashes []string `json:"keyHashes"`
	// Services lists the services it may use; empty means all.
	Services []string `json:"services,omitempty"`
	// TokensPerSecond limits prompt and output tokens over all nodes; 0 means
	// no limit.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
	// Weight is its share when the system is short of capacity; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// Priority is the highest priority its requests may ask for.
	Priority int      `json:"priority,omitempty"`
	Changed  Revision `json:"changed,omitempty"`
}

// Group asks for one replica of a model service in one fabric domain. The
// system chooses the instances.
type Group struct {
	Name         string   `json:"name"`
	Service      string   `json:"service"`
	Size         int      `json:"size"`
	FabricDomain string   `json:"fabricDomain"`
	Changed      Revision `json:"changed,omitempty"`
}

// NoteRecord remembers an accepted release note.
type NoteRecord struct {
	ID       string   `json:"id"`
	Revision Revision `json:"revision"`
	// ContentHash is the hex SHA-256 of the note, to tell a repeat from a
	// different note under the same identity.
	ContentHash string `json:"contentHash"`
	Operator    string `json:"operator"`
	Reason      string `json:"reason,omitempty"`
	// AcceptedAt is the accepting node's wall clock, RFC 3339, for people only.
	AcceptedAt string `json:"acceptedAt"`
}

// Tombstone remembers a withdrawn entry.
type Tombstone struct {
	// Entry is "services/<name>", "organisations/<name>" or "groups/<name>".
	Entry   string   `json:"entry"`
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
