package callers

import (
	"net/http"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// requestOptions are what a caller sets in headers.
type requestOptions struct {
	class     class
	timeout   time.Duration
	key       string
	requestID string
}

// parseRequestOptions parses and validates the options in the headers. Without a class the
// request is normal; without a timeout the service's deadline applies. The error names the invalid header.
func parseRequestOptions(header http.Header, service *pb.Service) (requestOptions, error) {
	for _, name := range []string{headerTeam, headerClass, headerTimeout, headerIdempotencyKey, headerRequestID} {
		if len(header.Values(name)) > 1 {
			return requestOptions{}, errBadRequest.New("%s may be given once", name)
		}
	}
	options := requestOptions{key: header.Get(headerIdempotencyKey), requestID: header.Get(headerRequestID)}
	if !isValidID(options.key) || !isValidID(options.requestID) {
		return requestOptions{}, errBadRequest.New("%s and %s have at most %d characters of printable ASCII",
			headerIdempotencyKey, headerRequestID, maxKeyBytes)
	}
	if options.key == "" && len(header.Values(headerIdempotencyKey)) > 0 {
		return requestOptions{}, errBadRequest.New("%s is empty; give a key or leave the header out", headerIdempotencyKey)
	}
	var err error
	if options.class, err = parseClass(header.Get(headerClass)); err != nil {
		return requestOptions{}, err
	}
	options.timeout, err = parseTimeout(header.Get(headerTimeout), service)
	return options, err
}

// isValidID reports whether a text is empty or valid as an idempotency key or request id. Both are sent in headers and in
// messages to peers, so they are limited to printable ASCII.
func isValidID(text string) bool {
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
		return "", errBadRequest.New("%s must be normal, urgent or session", headerClass)
	}
}

func parseTimeout(text string, service *pb.Service) (time.Duration, error) {
	if text == "" {
		return service.GetDeadline().AsDuration(), nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, errBadRequest.New("%s must be a positive duration such as 10s, at most %s", headerTimeout, maxTimeout)
	}
	return timeout, nil
}
