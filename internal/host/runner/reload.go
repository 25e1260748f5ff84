package runner

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
)

// reloadInterval is the time between two checks of whether a settings file has
// changed, which may happen without a signal.
const reloadInterval = 5 * time.Second

// AddReload adds a part that calls reload on SIGHUP and when the file at path has
// changed. An error of reload is logged and does not end the group.
func (g *Group) AddReload(path string, reload func() error, logger *log.Logger) {
	g.Add(func(ctx context.Context) error {
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		lastModified := modificationTime(path)
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-hangups:
			case <-ticker.C:
				if modificationTime(path).Equal(lastModified) {
					continue
				}
			}
			lastModified = modificationTime(path)
			if err := reload(); err != nil {
				logger.Warn("settings could not be reloaded, the current ones stay in use", "err", err)
			}
		}
	})
}

// modificationTime returns when a file was last changed, or the zero time if that
// cannot be determined.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
