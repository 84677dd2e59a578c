package settings_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/settings"
)

// TestMain fixes the seed of rapid; a flag on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestValidMessagesRoundTrip marshals messages with special characters and arbitrary durations and parses them again.
func TestValidMessagesRoundTrip(t *testing.T) {
	specialText := rapid.StringOf(rapid.SampledFrom([]rune("ab \t\r\n\"'`\\;#=%()[],é\u00a0\u2028\x00$:")))
	rapid.Check(t, func(t *rapid.T) {
		s := &pb.Settings{}
		assert.NilError(t, settings.Parse("good.ini", []byte(validSettings), s))
		s.Store.Token = specialText.Draw(t, "token")
		s.Store.Prefix = specialText.Draw(t, "prefix")
		s.EntryHost.Region = specialText.Draw(t, "region")
		s.Store.Timeout = durationpb.New(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "timeout")))
		text, err := settings.Marshal(s)
		if err != nil {
			assert.Assert(t, settings.Validate(s) != nil)
			return
		}
		reread := &pb.Settings{}
		assert.NilError(t, settings.Parse("again.ini", text, reread), "%s", text)
		assert.Assert(t, proto.Equal(s, reread), "%s\n%v\n%v", text, s, reread)
	})
}
