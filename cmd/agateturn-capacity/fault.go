package main

import (
	"context"
	"net/http"

	"github.com/agateturn/agateturn/hostlist"
	"github.com/agateturn/agateturn/standin/platformd"
)

// faultCommand controls the platform's stand-in.
type faultCommand struct {
	Platform string   `required:"" help:"Address of the platform's stand-in, http://ip:port."`
	Down     bool     `help:"Take the store down; without it the store is up." negatable:""`
	Reset    bool     `help:"Set the store's counters to zero."`
	Gone     []string `help:"Hosts that the platform's list shows as gone from now on."`
}

// Run makes the calls to the stand-in.
func (c *faultCommand) Run(ctx context.Context) error {
	if _, err := call(ctx, http.MethodPut, c.Platform+"/admin/store", "", platformd.StoreFaults{Down: c.Down}); err != nil {
		return err
	}
	for _, name := range c.Gone {
		host := map[string]hostlist.State{"state": hostlist.StateGone}
		if _, err := call(ctx, http.MethodPut, c.Platform+"/admin/hosts/"+name, "", host); err != nil {
			return err
		}
	}
	if !c.Reset {
		return nil
	}
	_, err := call(ctx, http.MethodPost, c.Platform+resetPath, "", nil)
	return err
}
