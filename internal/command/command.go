// Package command runs the commands of the developer tools.
package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Run runs the chosen command with a context that ends on an interrupt or SIGTERM, and exits if it fails.
func Run(parsed *kong.Context) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	parsed.BindTo(ctx, (*context.Context)(nil))
	err := parsed.Run()
	stop()
	parsed.FatalIfErrorf(err)
}
