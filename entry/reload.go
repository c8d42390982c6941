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

// reloadInterval is the time between two checks whether the settings file changed,
// which may happen without a signal.
const reloadInterval = 2 * time.Second

// SettingsFile is the path of the settings file to reload; empty for none.
type SettingsFile string

// reloader applies changed settings. Seeds and retry limits are applied at once; all
// other settings, such as addresses and names, take effect at the next start.
type reloader struct {
	path    SettingsFile
	current Settings
	mesh    *mesh.Mesh
	handler *forward.Handler
	logger  log.Logger
	// signals receives SIGHUP. It is registered before the start, because the default
	// action of SIGHUP would end the process.
	signals chan os.Signal
}

// run reloads on SIGHUP and when the file changes, until ctx is cancelled.
func (r *reloader) run(ctx context.Context) error {
	defer signal.Stop(r.signals)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	modified := r.modTime()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			modified = r.modTime()
			r.reload("signal")
		case <-ticker.C:
			if modTime := r.modTime(); !modTime.Equal(modified) {
				modified = modTime
				r.reload("file changed")
			}
		}
	}
}

// modTime returns the modification time of the file, or zero if the file is
// inaccessible; reload logs the error.
func (r *reloader) modTime() time.Time {
	info, err := os.Stat(string(r.path))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads and applies the file. Invalid settings are logged and ignored.
func (r *reloader) reload(cause string) {
	if r.path == "" {
		return
	}
	next, err := LoadSettings(string(r.path))
	if err != nil {
		_ = level.Error(r.logger).Log("msg", "reloading settings failed, keeping the current ones", "cause", cause, "err", err)
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
