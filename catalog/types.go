package catalog

import "time"

// Kind tells what may be repeated of a request.
type Kind uint8

// Kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Streaming requests are answered by a series of events. They are unsafe
	// unless their route is resumable.
	Streaming
)

// Route maps the requests below one path of a host to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyGoal is the time to a whole answer, or to the first event.
	LatencyGoal time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Targets are the services, with the share of requests each receives.
	Targets []Target
	// MaxAttempts bounds the backend servers that run one request.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams go on at another engine after their last event.
	Resumable bool
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Target is one destination of a route.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of equal backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server
	// accepts from all nodes together; 0 means no limit.
	MaxConnections int
	// Engine describes model engines; nil for a plain service.
	Engine *EngineProfile
}

// EngineProfile describes the engines of a model service.
type EngineProfile struct {
	// Slots is the number of requests that a group runs at once.
	Slots  int
	Models []Model
	// StepTime and StepTimePerRequest give the duration of a token step.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// ReadRate is the prompt tokens read per second, ReadChunk the most that one
	// step reads.
	ReadRate  float64
	ReadChunk int
	// DistanceFactor multiplies the times of a group over several fabric domains.
	DistanceFactor float64
	// StepsPerEvent is the number of token steps between two events.
	StepsPerEvent int
	// LoadsPerSecond and LoadsAtOnce bound loads from the weight store.
	LoadsPerSecond float64
	LoadsAtOnce    int
}

// EventGap returns the usual time between two events of a full group at pace 1,
// and the longest one, while prompts are read in every step.
func (p *EngineProfile) EventGap() (usual, longest time.Duration) {
	step := p.StepTime + time.Duration(p.Slots)*p.StepTimePerRequest
	usual = step * time.Duration(p.StepsPerEvent)
	return usual, usual + p.ReadTime(p.ReadChunk)*time.Duration(p.StepsPerEvent)
}

// ReadTime returns the time to read prompt tokens at pace 1.
func (p *EngineProfile) ReadTime(tokens int) time.Duration {
	if p.ReadRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / p.ReadRate * float64(time.Second))
}

// Model returns the model with the given name, or nil.
func (p *EngineProfile) Model(name string) *Model {
	for i := range p.Models {
		if p.Models[i].Name == name {
			return &p.Models[i]
		}
	}
	return nil
}

// Model is one model that groups of engines run.
type Model struct {
	Name string
	// Size is the number of instances of a group.
	Size int
	// Share is the expected part of the work.
	Share float64
	// Pace multiplies all times of a group.
	Pace float64
	// LoadTime is that of a load from the weight store, WarmTime that of a
	// start from weights staged on the host.
	LoadTime time.Duration
	WarmTime time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
	// HasPriority tells that Priority overrides that of the route.
	HasPriority bool
}

// Configuration is one version of everything that operators declare.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	byHost    map[string][]*Route
	byService map[string]*Service
	byKey     map[string]*Organisation
	// unrepeatable holds the services with a route whose requests run at most once.
	unrepeatable map[string]bool
}
