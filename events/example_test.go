package events_test

import (
	"context"
	"log/slog"
	"os"

	"github.com/agateturn/agateturn/events"
)

func ExampleEmit() {
	withoutTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	logger := slog.New(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{ReplaceAttr: withoutTime}))
	events.Emit(context.Background(), logger, events.HostMoved, slog.String("host", "modica-w03"), slog.String("pool", "exports"))
	// Output:
	// level=INFO msg="host moved to another pool" event=503 name=host_moved host=modica-w03 pool=exports
}
