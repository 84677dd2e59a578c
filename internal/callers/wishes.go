package callers

import (
	"net/http"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// wishes are what a caller asks for in headers.
type wishes struct {
	class     class
	timeout   time.Duration
	key       string
	requestID string
}

// parseWishes reads and checks the callers' headers; what is absent gets the service's default. The error says which
// header is wrong.
func parseWishes(header http.Header, service *pb.Service) (wishes, error) {
	for _, name := range []string{headerTeam, headerClass, headerTimeout, headerIdempotencyKey, headerRequestID} {
		if len(header.Values(name)) > 1 {
			return wishes{}, errBadCaller.New("%s may be given once", name)
		}
	}
	w := wishes{key: header.Get(headerIdempotencyKey), requestID: header.Get(headerRequestID)}
	if !identifies(w.key) || !identifies(w.requestID) {
		return wishes{}, errBadCaller.New("%s and %s have at most %d characters of printable ASCII",
			headerIdempotencyKey, headerRequestID, maxKeyBytes)
	}
	if w.key == "" && len(header.Values(headerIdempotencyKey)) > 0 {
		return wishes{}, errBadCaller.New("%s is empty; give a key or leave the header out", headerIdempotencyKey)
	}
	var err error
	if w.class, err = parseClass(header.Get(headerClass)); err != nil {
		return wishes{}, err
	}
	w.timeout, err = timeoutOf(header.Get(headerTimeout), service)
	return w, err
}

// identifies reports whether a text may be a key or a request id: it is passed on in headers and in messages to peers.
func identifies(text string) bool {
	for _, c := range []byte(text) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return len(text) <= maxKeyBytes
}

func parseClass(text string) (class, error) {
	switch c := class(text); c {
	case "":
		return classNormal, nil
	case classNormal, classUrgent, classSession:
		return c, nil
	default:
		return "", errBadCaller.New("%s must be normal, urgent or session", headerClass)
	}
}

func timeoutOf(text string, service *pb.Service) (time.Duration, error) {
	if text == "" {
		return service.GetDeadline().AsDuration(), nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, errBadCaller.New("%s must be a positive duration such as 10s, at most %s", headerTimeout, maxTimeout)
	}
	return timeout, nil
}
