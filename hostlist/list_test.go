package hostlist

import (
	"testing"

	"gotest.tools/v3/assert"
)

func FuzzParseHosts(f *testing.F) {
	f.Add([]byte(`{"hosts":[{"name":"w1","role":"worker","state":"live"},{"name":"w1","role":"entry","state":"gone"}]}`))
	f.Add([]byte(`{"hosts":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		hosts, err := parseHosts(body)
		if err != nil {
			assert.Assert(t, Malformed.Has(err))
			return
		}
		for i, host := range hosts {
			assert.NilError(t, host.Check())
			assert.Assert(t, i == 0 || hosts[i-1].Name < host.Name)
		}
	})
}
