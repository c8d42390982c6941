package health

import (
	"context"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// StatusSource requests reports from backend servers.
type StatusSource interface {
	// Status returns the report of the backend server at address ("IP:port").
	// An error means that no report was received before ctx ended.
	Status(ctx context.Context, address string) (fleet.Report, error)
}

// LossAnnouncer announces failed probes to all peers.
type LossAnnouncer interface {
	// AnnounceLosses sends the losses to all peers without waiting for them.
	AnnounceLosses(losses []blackboard.Loss)
}
