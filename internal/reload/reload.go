// Package reload tells when the settings file of a process has changed, with or without a signal.
package reload

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is how often the file is looked at without a signal.
const pollInterval = 5 * time.Second

// Watch calls onChange with the content of the file whenever it differs from before, until ctx ends. It takes over
// SIGHUP, which would end the process otherwise. Content that cannot be read changes nothing.
func Watch(ctx context.Context, path string, onChange func(content []byte)) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	follow(ctx, path, hangUp, pollInterval, onChange)
}

func follow(ctx context.Context, path string, hangUp <-chan os.Signal, interval time.Duration, onChange func([]byte)) {
	before, _ := os.ReadFile(path)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
		case <-ticker.C:
		}
		now, err := os.ReadFile(path)
		if err != nil || bytes.Equal(now, before) {
			continue
		}
		before = now
		onChange(now)
	}
}
