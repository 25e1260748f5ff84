package runner

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
)

// reloadInterval is how often a settings file is looked at: it may change
// without a signal.
const reloadInterval = 5 * time.Second

// AddReload calls reload on SIGHUP and when the file at path has changed. Errors
// are logged, and the settings in use stay.
func (g *Group) AddReload(path string, reload func() error, logger *log.Logger) {
	g.Add(func(ctx context.Context) error {
		hup := make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP)
		defer signal.Stop(hup)
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		last := modified(path)
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-hup:
			case <-ticker.C:
				if modified(path).Equal(last) {
					continue
				}
			}
			last = modified(path)
			if err := reload(); err != nil {
				logger.Warn("settings not read again, those in use stay", "err", err)
			}
		}
	})
}

// modified returns when a file was changed, or the zero time if it cannot be
// looked at.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
