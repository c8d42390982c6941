package engine

import "context"

// Operation is the operation that an engine is commanded to carry out.
type Operation string

// The operations.
const (
	// Join makes the instance a member of a group, with the first member as
	// head.
	Join Operation = "join"
	// OpenHead lets the head of a ready group accept requests.
	OpenHead Operation = "open"
	// CloseHead returns an open head to the ready phase.
	CloseHead Operation = "close"
	// Leave ends the instance's membership of a group.
	Leave Operation = "leave"
	// Stage copies the weights of a model to the host.
	Stage Operation = "stage"
)

// Command is a command to one engine.
type Command struct {
	Operation Operation
	// Instance is the ID of the engine that receives the command.
	Instance string
	// Address is the address of that engine.
	Address string
	Group   GroupID
	Model   string
	// Members are instance IDs by rank.
	Members []string
	// AbortInFlight is true if closing a head aborts its requests in progress;
	// otherwise they finish first.
	AbortInFlight bool
}

// Commander sends commands. The outcome of a command without a response is
// unknown: it may be carried out much later.
type Commander interface {
	// Send returns nil if the engine accepted the command or is already in the
	// commanded state, ErrRefused if it refused, and any other error if the outcome
	// is unknown.
	Send(ctx context.Context, command Command) error
}

// Prober probes the liveness of engines, bypassing their request queue.
type Prober interface {
	// Probe returns nil if the engine at the instance's address answers and
	// identifies itself as the instance.
	Probe(ctx context.Context, in *Instance) error
}
