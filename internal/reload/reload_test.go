package reload

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestWatch changes the file with a signal, then without one. A missing file and an unchanged one cause no call.
func TestWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, os.WriteFile(path, []byte("a"), 0o600))
	hangUp := make(chan os.Signal)
	changes := make(chan string, 4)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watch(ctx, path, hangUp, 10*time.Millisecond, func(content []byte) { changes <- string(content) })
	}()
	hangUp <- nil
	assert.NilError(t, os.WriteFile(path+".new", []byte("b"), 0o600))
	assert.NilError(t, os.Rename(path+".new", path))
	hangUp <- nil
	assert.Equal(t, <-changes, "b")
	assert.NilError(t, os.Remove(path))
	hangUp <- nil
	assert.NilError(t, os.WriteFile(path+".new", []byte("c"), 0o600))
	assert.NilError(t, os.Rename(path+".new", path))
	assert.Equal(t, <-changes, "c")
	cancel()
	<-done
	assert.Equal(t, len(changes), 0)
}
