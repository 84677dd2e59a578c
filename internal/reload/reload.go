// Package reload detects changes of the settings file of a process, on SIGHUP and by polling.
package reload

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is the time between two reads of the file without a signal.
const pollInterval = 5 * time.Second

// Watch calls onChange with the content of the file whenever it has changed, until ctx ends. It handles SIGHUP, which
// would otherwise end the process. A file that cannot be read is ignored.
func Watch(ctx context.Context, path string, onChange func(content []byte)) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	watch(ctx, path, hangUp, pollInterval, onChange)
}

func watch(ctx context.Context, path string, hangUp <-chan os.Signal, interval time.Duration, onChange func([]byte)) {
	last, _ := os.ReadFile(path)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
		case <-ticker.C:
		}
		content, err := os.ReadFile(path)
		if err != nil || bytes.Equal(content, last) {
			continue
		}
		last = content
		onChange(content)
	}
}
