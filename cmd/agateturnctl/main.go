// Command agateturnctl is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/agateturn/agateturn/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
