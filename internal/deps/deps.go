// Package deps keeps the declared libraries in go.mod while the packages that use them are being written.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/danielgtaylor/huma/v2"
	_ "github.com/danielgtaylor/huma/v2/adapters/humago"
	_ "github.com/google/uuid"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/samber/do/v2"
	_ "github.com/samber/lo"
	_ "github.com/zeebo/errs"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "google.golang.org/protobuf/proto"
	_ "gopkg.in/ini.v1"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
