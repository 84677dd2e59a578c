package callers

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Checks that options accepted from any headers can be encoded in a message to a peer, represented as a time, and sent on
// in a header.
func FuzzParseRequestOptions(f *testing.F) {
	f.Add("normal", "10s", "key-1", "request-1", false)
	f.Add("royal", "-5s", "a\xff", "a\x01b", false)
	f.Add("session", "2562047h", "a\tb", "", true)
	f.Add("", "", "", "", true)
	service := &pb.Service{Deadline: durationpb.New(time.Minute)}
	f.Fuzz(func(t *testing.T, class, timeout, key, id string, duplicated bool) {
		header := http.Header{}
		for name, value := range map[string]string{headerClass: class, headerTimeout: timeout, headerIdempotencyKey: key, headerRequestID: id} {
			if value != "" {
				header.Set(name, value)
			}
		}
		if duplicated {
			header.Add(headerIdempotencyKey, "another")
		}
		options, err := parseRequestOptions(header, service)
		if err != nil {
			assert.Assert(t, errBadRequest.Has(err))
			return
		}
		assert.Assert(t, !duplicated || key == "")
		assert.Assert(t, options.timeout > 0 && options.timeout <= maxTimeout)
		assert.Assert(t, timeout != "" || options.timeout == time.Minute)
		assert.Assert(t, len(options.key) <= maxKeyBytes && len(options.requestID) <= maxKeyBytes)
		data, err := proto.Marshal(&pb.ClaimRequest{Key: options.key, Attempt: options.requestID})
		assert.NilError(t, err)
		decoded := &pb.ClaimRequest{}
		assert.NilError(t, proto.Unmarshal(data, decoded))
		assert.Equal(t, decoded.GetKey(), options.key)
		var sent bytes.Buffer
		assert.NilError(t, http.Header{headerRequestID: {options.requestID}}.Write(&sent))
		assert.Equal(t, sent.String(), headerRequestID+": "+strings.TrimSpace(options.requestID)+"\r\n")
	})
}

// Checks that the worker gets the path as the caller wrote it: escapes must not become a query or another path.
func FuzzParsePath(f *testing.F) {
	f.Add("/v1/services/left/a%3Fb%2F..%20c%0d%0a")
	f.Add("/v1/services/left/100%25?q=%zz")
	f.Add("/v1/services//x")
	f.Fuzz(func(t *testing.T, uri string) {
		parsed, err := url.ParseRequestURI(uri)
		if err != nil {
			return
		}
		service, path, ok := serviceAndPath(parsed.EscapedPath())
		if !ok {
			return
		}
		passed, err := url.ParseRequestURI(path)
		assert.NilError(t, err)
		assert.Equal(t, passed.RawQuery, "")
		whole := "/v1/services/" + service + passed.EscapedPath()
		assert.Assert(t, whole == parsed.EscapedPath() || whole == parsed.EscapedPath()+"/", whole)
	})
}
