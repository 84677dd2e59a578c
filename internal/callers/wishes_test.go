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

// Whatever a caller sends, what is taken can be said to a peer, kept as a time, and passed on.
func FuzzParseWishes(f *testing.F) {
	f.Add("normal", "10s", "key-1", "request-1", false)
	f.Add("royal", "-5s", "a\xff", "a\x01b", false)
	f.Add("session", "2562047h", "a\tb", "", true)
	f.Add("", "", "", "", true)
	service := &pb.Service{Deadline: durationpb.New(time.Minute)}
	f.Fuzz(func(t *testing.T, class, timeout, key, id string, twice bool) {
		header := http.Header{}
		for name, value := range map[string]string{headerClass: class, headerTimeout: timeout, headerIdempotencyKey: key, headerRequestID: id} {
			if value != "" {
				header.Set(name, value)
			}
		}
		if twice {
			header.Add(headerIdempotencyKey, "another")
		}
		w, err := parseWishes(header, service)
		if err != nil {
			assert.Assert(t, errBadCaller.Has(err))
			return
		}
		assert.Assert(t, !twice || key == "")
		assert.Assert(t, w.timeout > 0 && w.timeout <= maxTimeout)
		assert.Assert(t, timeout != "" || w.timeout == time.Minute)
		assert.Assert(t, len(w.key) <= maxKeyBytes && len(w.requestID) <= maxKeyBytes)
		data, err := proto.Marshal(&pb.ClaimRequest{Key: w.key, Attempt: w.requestID})
		assert.NilError(t, err)
		said := &pb.ClaimRequest{}
		assert.NilError(t, proto.Unmarshal(data, said))
		assert.Equal(t, said.GetKey(), w.key)
		var sent bytes.Buffer
		assert.NilError(t, http.Header{headerRequestID: {w.requestID}}.Write(&sent))
		assert.Equal(t, sent.String(), headerRequestID+": "+strings.TrimSpace(w.requestID)+"\r\n")
	})
}

// The worker gets the path as the caller wrote it: escapes do not turn into a query or another path.
func FuzzParsePath(f *testing.F) {
	f.Add("/v1/services/left/a%3Fb%2F..%20c%0d%0a")
	f.Add("/v1/services/left/100%25?q=%zz")
	f.Add("/v1/services//x")
	f.Fuzz(func(t *testing.T, uri string) {
		asked, err := url.ParseRequestURI(uri)
		if err != nil {
			return
		}
		service, path, ok := serviceAndPath(asked.EscapedPath())
		if !ok {
			return
		}
		passed, err := url.ParseRequestURI(path)
		assert.NilError(t, err)
		assert.Equal(t, passed.RawQuery, "")
		whole := "/v1/services/" + service + passed.EscapedPath()
		assert.Assert(t, whole == asked.EscapedPath() || whole == asked.EscapedPath()+"/", whole)
	})
}
