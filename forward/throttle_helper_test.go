package forward

import (
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/throttle"
)

func newThrottle() *throttle.Registry {
	return throttle.NewRegistry(throttle.Config{}, log.NewNopLogger(), metrics.NewRegistry())
}
