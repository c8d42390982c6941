package catalog

import "time"

// Kind determines whether a request may be repeated and how it is answered.
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
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// LatencyGoal is the desired time to a complete response, or to the first event
	// of a stream.
	LatencyGoal time.Duration
	// EventGap is the longest time between two events of a stream for which it is on time; 0
	// means no limit.
	EventGap time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Targets are the services that receive the requests, by weight.
	Targets []Target
	// MaxAttempts is the largest number of backend servers that a request is sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable is true if another engine can continue a stream after the last
	// received event.
	Resumable bool
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Target is one destination of a route.
type Target struct {
	Service string
	// Weight is relative to the sum of the weights of the route's targets.
	Weight float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server
	// accepts from all nodes together; 0 means no limit.
	MaxConnections int
	// ColdTime is the time for which a server is cold after its start.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a cold server accepts from all
	// nodes together; 0 means no limit.
	ColdRate float64
	// Engine describes the engines of a model service; it is nil for other services.
	Engine *EngineProfile
}

// EngineProfile describes the engines of a model service.
type EngineProfile struct {
	// Slots is the number of requests that a group runs at once.
	Slots  int
	Models []Model
	// StepTime is the fixed part of the duration of a token step.
	StepTime time.Duration
	// StepTimePerRequest is added to the duration of a token step for each request
	// that runs in the group.
	StepTimePerRequest time.Duration
	// StepTimePerContext is added to the duration of a token step for each 1,000 tokens of
	// context of each request that runs in the group.
	StepTimePerContext time.Duration
	// PrefillRate is the number of prompt tokens read per second.
	PrefillRate float64
	// PrefillChunk is the largest number of prompt tokens that one step reads.
	PrefillChunk int
	// PrefillTimePerPairs is added to the time of reading for each million pairs of a prompt
	// token and an earlier one.
	PrefillTimePerPairs time.Duration
	// CrossDomainFactor multiplies the times of a group over several fabric domains.
	CrossDomainFactor float64
	// StepsPerEvent is the number of token steps between two events.
	StepsPerEvent int
	// LoadsPerSecond is the rate limit of loads from the weight store.
	LoadsPerSecond float64
	// MaxConcurrentLoads is the largest number of concurrent loads from the weight
	// store; 0 means that it isn't configured.
	MaxConcurrentLoads int
}

// PredictsFirstEvent reports whether the profile holds the times from which the time to the first
// event of a response is estimated.
func (p *EngineProfile) PredictsFirstEvent() bool {
	return p.StepTime > 0 && p.PrefillRate > 0 && p.Slots > 0
}

// EventGap returns the usual time between two events of a group with all slots in use
// and a time factor of 1, and the longest one, when prompts are read in every step.
func (p *EngineProfile) EventGap() (usual, longest time.Duration) {
	step := p.StepTime + time.Duration(p.Slots)*p.StepTimePerRequest
	usual = step * time.Duration(p.StepsPerEvent)
	return usual, usual + p.PrefillTime(p.PrefillChunk)*time.Duration(p.StepsPerEvent)
}

// PrefillTime returns the time that a group with a time factor of 1 takes to read the
// given number of prompt tokens.
func (p *EngineProfile) PrefillTime(tokens int) time.Duration {
	if p.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / p.PrefillRate * float64(time.Second))
}

// RequestTime returns the time of a group with all slots in use and a time factor of 1
// that a request takes: its share of the token steps, and the reading of its prompt,
// during which the group writes nothing.
func (p *EngineProfile) RequestTime(promptTokens, outputTokens float64) time.Duration {
	slots := float64(max(p.Slots, 1))
	step := float64(p.StepTime)/slots + float64(p.StepTimePerRequest)
	read := 0.0
	if p.PrefillRate > 0 {
		read = promptTokens / p.PrefillRate * float64(time.Second)
	}
	return time.Duration(outputTokens*step + read)
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

// Size returns the number of instances of a group of the model, or 0 if the model isn't
// configured.
func (p *EngineProfile) Size(model string) int {
	if m := p.Model(model); m != nil {
		return m.Size
	}
	return 0
}

// Model is a model that groups of engines run.
type Model struct {
	Name string
	// Size is the number of instances of a group.
	Size int
	// Share is the fraction of the work that is expected for this model.
	Share float64
	// TimeFactor multiplies all times of a group that runs the model.
	TimeFactor float64
	// LoadTime is the duration of a load from the weight store.
	LoadTime time.Duration
	// WarmTime is the duration of a start from weights staged on the host.
	WarmTime time.Duration
}

// Limits apply to the requests and connections of callers.
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
	// HasPriority is true if Priority overrides that of the route.
	HasPriority bool
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	byHost    map[string][]*Route
	byService map[string]*Service
	byKey     map[string]*Organisation
	// nonRepeatable holds the services with a route whose requests run at most once.
	nonRepeatable map[string]bool
}
