package health

import (
	"context"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// StatusSource asks a backend server for its report.
type StatusSource interface {
	// Status returns the report of the backend server at address ("IP:port").
	// An error means that no proof of health was obtained before ctx ended.
	Status(ctx context.Context, address string) (fleet.Report, error)
}

// LossAnnouncer tells all peers about failed probes.
type LossAnnouncer interface {
	// AnnounceLosses sends the losses to all peers and does not block on them.
	AnnounceLosses(losses []blackboard.Loss)
}
