// Package operatorapi implements the operators' HTTP API, described by the OpenAPI document that it serves at /openapi.json.
package operatorapi

import (
	"context"
	"crypto/subtle"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/agateturn/agateturn/events"
)

const (
	// maxBodyBytes bounds the body of an operator's request.
	maxBodyBytes = 2 << 20
	// maxOrders bounds the requests with bodies that are in progress, and with it the memory of their bodies.
	maxOrders = 8

	// bodyTimeout bounds the time for reading a request's body.
	bodyTimeout = 5 * time.Second

	headerRequestID = "X-Request-Id"
	// maxRequestIDBytes bounds a request id that the operator sends; longer ones are replaced.
	maxRequestIDBytes = 64

	apiVersion = "1.0.0"
)

// Options configure the API.
type Options struct {
	// Token is the bearer token that operators present.
	Token   string
	Logger  *slog.Logger
	Metrics http.Handler
}

// New returns the handler of the API and of /metrics, /healthz and /readyz, which need no token.
func New(backend Backend, options Options) http.Handler {
	mux, api := newAPI(backend.Ready, options)
	registerReads(api, backend)
	registerOrders(api, backend)
	return http.MaxBytesHandler(mux, maxBodyBytes)
}

// newAPI returns an API without operations, and the mux that serves it.
func newAPI(ready func() error, options Options) (*http.ServeMux, huma.API) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", options.Metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	settings := huma.DefaultConfig("agateturn operator API", apiVersion)
	settings.CreateHooks = nil // no "$schema" in answers
	settings.DocsPath = ""     // the page would load scripts from other sites
	settings.Components.SecuritySchemes = map[string]*huma.SecurityScheme{
		"operator": {Type: "http", Scheme: "bearer"},
	}
	api := humago.New(mux, settings)
	api.UseMiddleware(
		func(ctx huma.Context, next func(huma.Context)) { authorize(api, options, ctx, next) },
		limitOrders(api, make(chan struct{}, maxOrders)),
	)
	return mux, api
}

// limitOrders rejects requests with bodies while as many as inProgress holds are in progress.
func limitOrders(api huma.API, inProgress chan struct{}) func(huma.Context, func(huma.Context)) {
	return func(ctx huma.Context, next func(huma.Context)) {
		if ctx.Method() == http.MethodGet {
			next(ctx)
			return
		}
		select {
		case inProgress <- struct{}{}:
			defer func() { <-inProgress }()
			next(ctx)
		default:
			ctx.SetHeader("Retry-After", "1")
			_ = huma.WriteErr(api, ctx, http.StatusServiceUnavailable, "too many orders are in progress; send it again")
		}
	}
}

// authorize checks the operator token and gives each request an id. A rejection is logged without the presented
// credentials.
func authorize(api huma.API, options Options, ctx huma.Context, next func(huma.Context)) {
	id := ctx.Header(headerRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		id = uuid.NewString()
	}
	ctx.SetHeader(headerRequestID, id)
	presented, isBearer := strings.CutPrefix(ctx.Header("Authorization"), "Bearer ")
	if !isBearer || options.Token == "" || subtle.ConstantTimeCompare([]byte(presented), []byte(options.Token)) != 1 {
		events.Emit(ctx.Context(), options.Logger, events.OperatorRefused,
			"request", id, "remote", ctx.RemoteAddr(), "path", ctx.URL().Path)
		_ = huma.WriteErr(api, ctx, http.StatusUnauthorized, "present the operator token as Authorization: Bearer TOKEN")
		return
	}
	next(ctx)
}

// body wraps the body of a request or an answer.
type body[T any] struct {
	Body T
}

func answer[T any](value T, err error) (*body[T], error) {
	if err != nil {
		return nil, asHTTP(err)
	}
	return &body[T]{Body: value}, nil
}

// asHTTP maps an error class to its HTTP status. The text omits the class, since the status identifies it.
func asHTTP(err error) error {
	switch {
	case NotFound.Has(err):
		return huma.Error404NotFound(textOf(NotFound, err))
	case Conflict.Has(err):
		return huma.Error409Conflict(textOf(Conflict, err))
	case Refused.Has(err):
		return huma.Error422UnprocessableEntity(textOf(Refused, err))
	case Unavailable.Has(err):
		return huma.Error503ServiceUnavailable(textOf(Unavailable, err))
	case Unknown.Has(err):
		return huma.Error504GatewayTimeout(textOf(Unknown, err))
	default:
		return huma.Error500InternalServerError(err.Error())
	}
}

// textOf returns the error's text without the prefix of its class.
func textOf(class errs.Class, err error) string {
	return strings.TrimPrefix(err.Error(), string(class)+": ")
}

// operation describes one operation of the API.
func operation(id, method, path, summary string) huma.Operation {
	return huma.Operation{
		OperationID:     id,
		Method:          method,
		Path:            path,
		Summary:         summary,
		MaxBodyBytes:    maxBodyBytes,
		BodyReadTimeout: bodyTimeout,
		Security:        []map[string][]string{{"operator": {}}},
	}
}

func registerReads(api huma.API, backend Backend) {
	huma.Register(api, operation("status", http.MethodGet, "/v1/status", "Show this entry host's view of the whole"),
		func(ctx context.Context, _ *struct{}) (*body[Status], error) {
			return answer(backend.Status(ctx), nil)
		})
	huma.Register(api, operation("config", http.MethodGet, "/v1/config", "Show the configuration in force"),
		func(ctx context.Context, _ *struct{}) (*body[ConfigDocument], error) {
			return answer(backend.Configuration(ctx))
		})
}

func registerOrders(api huma.API, backend Backend) {
	huma.Register(api, operation("apply-config", http.MethodPut, "/v1/config", "Have a configuration accepted"),
		func(ctx context.Context, in *body[ConfigChange]) (*body[ConfigResult], error) {
			return answer(backend.ApplyConfiguration(ctx, in.Body))
		})
	huma.Register(api, operation("move-host", http.MethodPost, "/v1/hosts/{host}/move", "Move a host to another pool"),
		func(ctx context.Context, in *struct {
			Host string `path:"host"`
			Body MoveOrder
		},
		) (*body[Accepted], error) {
			in.Body.Host = in.Host
			return answer(backend.MoveHost(ctx, in.Body))
		})
	huma.Register(api, operation("set-host-down", http.MethodPost, "/v1/hosts/{host}/down", "Take a host out of service or bring it back"),
		func(ctx context.Context, in *struct {
			Host string `path:"host"`
			Body DownOrder
		},
		) (*body[Accepted], error) {
			in.Body.Host = in.Host
			return answer(backend.SetHostDown(ctx, in.Body))
		})
	huma.Register(api, operation("create-wave", http.MethodPost, "/v1/waves", "Begin a maintenance wave"),
		func(ctx context.Context, in *body[WaveOrder]) (*body[Accepted], error) {
			return answer(backend.CreateWave(ctx, in.Body))
		})
	huma.Register(api, operation("control-wave", http.MethodPost, "/v1/waves/{wave}", "Stop, resume or cancel a wave"),
		func(ctx context.Context, in *struct {
			Wave string `path:"wave"`
			Body WaveControl
		},
		) (*body[Accepted], error) {
			in.Body.Name = in.Wave
			return answer(backend.ControlWave(ctx, in.Body))
		})
}
