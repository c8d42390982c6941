package entry

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/mesh"
)

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// SettingsFile is the path of the settings, for reloads; empty for none.
type SettingsFile string

// reloader applies changed settings. Seeds and retry limits are applied at once;
// what belongs to a listener or a name takes effect at the next start.
type reloader struct {
	path    SettingsFile
	current Settings
	mesh    *mesh.Mesh
	handler *forward.Handler
	logger  log.Logger
	// signals receives SIGHUP from before the start on: its default action would end
	// the process.
	signals chan os.Signal
}

// run reloads on SIGHUP and when the file changes, until ctx ends.
func (r *reloader) run(ctx context.Context) error {
	defer signal.Stop(r.signals)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	modified := r.modified()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			modified = r.modified()
			r.reload("signal")
		case <-ticker.C:
			if at := r.modified(); !at.Equal(modified) {
				modified = at
				r.reload("file changed")
			}
		}
	}
}

// modified returns the time of the file's last change, or zero if it can't be
// read; reload tells why.
func (r *reloader) modified() time.Time {
	info, err := os.Stat(string(r.path))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the file. Invalid settings change nothing.
func (r *reloader) reload(cause string) {
	if r.path == "" {
		return
	}
	next, err := LoadSettings(string(r.path))
	if err != nil {
		_ = level.Error(r.logger).Log("msg", "settings not reloaded, the old ones stay", "cause", cause, "err", err)
		return
	}
	changed := !reflect.DeepEqual(next, r.current)
	for _, seed := range next.seedAddresses() {
		r.mesh.AddPeer(seed)
	}
	r.handler.SetRetryLimits(next.RetryRatio, next.RetryAllowance)
	r.current = next
	_ = level.Info(r.logger).Log("msg", "settings reloaded", "cause", cause, "changed", changed)
}
