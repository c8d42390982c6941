package fleet

// EngineState is the state that a backend server reports.
type EngineState string

const (
	// EngineIdle means that the engine has no group.
	EngineIdle EngineState = "idle"
	// EngineLoading means that the engine is loading weights for its role.
	EngineLoading EngineState = "loading"
	// EngineReady means that the engine can serve in its role. It is also
	// reported by a plain server that accepts work.
	EngineReady EngineState = "ready"
	// EngineLeaving means that the backend server is shutting down.
	EngineLeaving EngineState = "leaving"
)

// Report is the status report of a backend server: its role and load.
type Report struct {
	Instance string `json:"instance"`
	// Boot changes with every start of the backend server's process.
	Boot string `json:"boot"`
	// Group, Generation, Rank, Size, Service and Version are the role that the
	// engine has; empty if it has none.
	Group      string      `json:"group,omitempty"`
	Generation Generation  `json:"generation,omitempty"`
	Rank       int         `json:"rank"`
	Size       int         `json:"size,omitempty"`
	Service    string      `json:"service,omitempty"`
	Version    string      `json:"version,omitempty"`
	State      EngineState `json:"state"`
	// Running is the number of requests in flight.
	Running int `json:"running"`
	// QueuedPromptTokens is the number of prompt tokens that wait for processing.
	QueuedPromptTokens int `json:"queuedPromptTokens"`
	// FreeKVTokens is the free space in the KV cache, in tokens.
	FreeKVTokens int `json:"freeKvTokens"`
	// LoadedVersions lists the weights in memory, as "service/version".
	LoadedVersions []string `json:"loadedVersions,omitempty"`
}

// Fills reports whether the engine is ready in exactly the role of the given rank
// in g.
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

// Free reports whether the engine has no role and no requests, so that it may be
// given a role in any group.
func (r *Report) Free() bool {
	return r.State == EngineIdle && r.Group == "" && r.Running == 0
}

// Command assigns a role to an engine. An empty Group releases the engine.
type Command struct {
	Group string `json:"group"`
	// Generation is the fencing token. An engine that checks it refuses a command
	// with a lower generation than the highest it has received.
	Generation Generation `json:"generation"`
	Rank       int        `json:"rank"`
	// Size is the number of members.
	Size    int    `json:"size"`
	Service string `json:"service"`
	Version string `json:"version"`
	// Members are the addresses of all members, in the order of their ranks.
	Members []string `json:"members"`
}
