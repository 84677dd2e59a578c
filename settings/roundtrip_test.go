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

// TestMain fixes rapid's seed; a flag on the command line still replaces it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestValidMessagesSurviveTheFile writes messages with awkward texts and numbers and reads them back.
func TestValidMessagesSurviveTheFile(t *testing.T) {
	awkward := rapid.StringOf(rapid.SampledFrom([]rune("ab \t\r\n\"'`\\;#=%()[],é\u00a0\u2028\x00$:")))
	rapid.Check(t, func(t *rapid.T) {
		s := &pb.Settings{}
		assert.NilError(t, settings.Parse("good.ini", []byte(good), s))
		s.Store.Token = awkward.Draw(t, "token")
		s.Store.Prefix = awkward.Draw(t, "prefix")
		s.EntryHost.Region = awkward.Draw(t, "region")
		s.Store.Timeout = durationpb.New(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "timeout")))
		text, err := settings.Marshal(s)
		if err != nil {
			assert.Assert(t, settings.Validate(s) != nil)
			return
		}
		again := &pb.Settings{}
		assert.NilError(t, settings.Parse("again.ini", text, again), "%s", text)
		assert.Assert(t, proto.Equal(s, again), "%s\n%v\n%v", text, s, again)
	})
}
