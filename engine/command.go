package engine

import "context"

// Operation is what a command asks of an engine.
type Operation string

// Operations of commands.
const (
	// Join makes the instance a member of a group, with the first member as
	// head.
	Join Operation = "join"
	// OpenHead lets the head of a ready group accept requests.
	OpenHead Operation = "open"
	// CloseHead returns an open head to ready.
	CloseHead Operation = "close"
	// Leave ends the membership.
	Leave Operation = "leave"
	// Stage copies the weights of a model to the host.
	Stage Operation = "stage"
)

// Command is one order to an engine.
type Command struct {
	Operation Operation
	// Instance and Address name the engine that receives the command.
	Instance string
	Address  string
	Group    GroupID
	Model    string
	// Members are instance IDs by rank.
	Members []string
	// CutRunning ends the requests in progress when a head is closed; otherwise
	// they finish first.
	CutRunning bool
}

// Commander sends commands. The outcome of a command without an answer is
// unknown: it may be carried out much later.
type Commander interface {
	// Send returns nil when the engine accepted the command or the state holds
	// already, ErrRefused when it refused, and any other error when the outcome
	// is unknown.
	Send(ctx context.Context, command Command) error
}

// Prober asks engines whether they are alive, without a place in their queue.
type Prober interface {
	// Probe returns nil if the engine at the instance's address answers and is
	// the instance.
	Probe(ctx context.Context, in *Instance) error
}
