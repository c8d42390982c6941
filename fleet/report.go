package fleet

// EngineState is what a backend server says about itself.
type EngineState string

const (
	// EngineIdle means that the engine has no group.
	EngineIdle EngineState = "idle"
	// EngineLoading means that the engine is loading weights for its role.
	EngineLoading EngineState = "loading"
	// EngineReady means that the engine can serve in its role. A plain server
	// that accepts work reports it too.
	EngineReady EngineState = "ready"
	// EngineLeaving means that the backend server is shutting down.
	EngineLeaving EngineState = "leaving"
)

// Report is a backend server's own statement of its role and load.
type Report struct {
	Instance string `json:"instance"`
	// Boot changes with every start of the backend server's process.
	Boot       string      `json:"boot"`
	Group      string      `json:"group,omitempty"`
	Generation Generation  `json:"generation,omitempty"`
	Rank       int         `json:"rank"`
	Size       int         `json:"size,omitempty"`
	Service    string      `json:"service,omitempty"`
	Version    string      `json:"version,omitempty"`
	State      EngineState `json:"state"`
	// Running is the number of requests in progress.
	Running int `json:"running"`
	// QueuedPromptTokens counts prompt tokens that wait for processing.
	QueuedPromptTokens int `json:"queuedPromptTokens"`
	// FreeKVTokens is the room left in the KV cache, in tokens.
	FreeKVTokens int `json:"freeKvTokens"`
	// LoadedVersions lists weights in memory, as "service/version".
	LoadedVersions []string `json:"loadedVersions,omitempty"`
}

// Fills reports whether r shows exactly the role of rank in g, ready to serve.
func (r *Report) Fills(g *PlacedGroup, rank int) bool {
	return r.State == EngineReady &&
		r.Instance == g.Members[rank].Instance &&
		r.Group == g.Name &&
		r.Generation == g.Generation &&
		r.Rank == rank &&
		r.Size == len(g.Members) &&
		r.Service == g.Service &&
		r.Version == g.Version
}

// Free reports whether the engine may be given a role in a new group.
func (r *Report) Free() bool {
	return r.State == EngineIdle && r.Group == "" && r.Running == 0
}

// Order tells an engine to take a role. An empty Group releases the engine.
type Order struct {
	Group string `json:"group"`
	// Generation is the fencing number; engines that check it refuse an order
	// below the highest they have seen.
	Generation Generation `json:"generation"`
	Rank       int        `json:"rank"`
	Size       int        `json:"size"`
	Service    string     `json:"service"`
	Version    string     `json:"version"`
	// Members are the addresses of all members by rank.
	Members []string `json:"members"`
}
