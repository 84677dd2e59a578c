package jsonscan_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateturn/agateturn/jsonscan"
)

// TestMain sets rapid's seed. A flag on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func Example() {
	s := jsonscan.Scanner{Data: []byte(`{"clock": 12, "other": [{}, "]"], "names": ["a", "b"]}`)}
	ok := s.Object(func(name string) bool {
		switch name {
		case "clock":
			n, ok := s.Number()
			fmt.Println("clock", n)
			return ok
		case "names":
			return s.List(func() bool {
				text, ok := s.Text()
				fmt.Println("name", text)
				return ok
			})
		}
		return s.Skip()
	})
	fmt.Println(ok)
	// Output:
	// clock 12
	// name a
	// name b
	// true
}

// value draws a random JSON value of at most the given depth.
func value(t *rapid.T, depth int) any {
	kinds := 6
	if depth == 0 {
		kinds = 4
	}
	switch rapid.IntRange(0, kinds-1).Draw(t, "kind") {
	case 0:
		return nil
	case 1:
		return rapid.Bool().Draw(t, "bool")
	case 2:
		return rapid.Float64Range(-1e300, 1e300).Draw(t, "number")
	case 3:
		return rapid.String().Draw(t, "text")
	case 4:
		return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) any { return value(t, depth-1) }), 0, 4).Draw(t, "list")
	}
	return rapid.MapOfN(rapid.String(), rapid.Custom(func(t *rapid.T) any { return value(t, depth-1) }), 0, 4).Draw(t, "object")
}

func TestSkipSkipsExactlyOneValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data, err := json.MarshalIndent(value(t, 3), "", rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent"))
		assert.NilError(t, err)
		s := jsonscan.Scanner{Data: append(data, ",1"...)}
		assert.Assert(t, s.Skip(), "%s", data)
		assert.Equal(t, s.Pos, len(data), "%s", data)
	})
}

func TestTextAgreesWithEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.String().Draw(t, "text")
		data, err := json.Marshal(want)
		assert.NilError(t, err)
		s := jsonscan.Scanner{Data: data}
		got, ok := s.Text()
		assert.Assert(t, ok && got == want, "%s", data)
		assert.Equal(t, s.Next(), byte(0))
	})
}

func TestNumbers(t *testing.T) {
	tests := []struct {
		text string
		want int64
		ok   bool
	}{
		{"0", 0, true},
		{" -7,", -7, true},
		{"9223372036854775807", 9223372036854775807, true},
		{"9223372036854775808", 0, false},
		{"99.9", 99, true},
		{"-0.5", -1, true},
		{"1.5e3", 1500, true},
		{"1e300", 0, false},
		{"", 0, false},
		{"--1", 0, false},
		{`"1"`, 0, false},
		{"null", 0, false},
	}
	for _, test := range tests {
		s := jsonscan.Scanner{Data: []byte(test.text)}
		got, ok := s.Number()
		assert.Equal(t, ok, test.ok, test.text)
		assert.Assert(t, !ok || got == test.want, "%s: %d", test.text, got)
	}
}

// TestCorruptValuesTerminate checks that no method reads past the end or loops for ever on truncated, corrupted or deeply
// nested JSON.
func TestCorruptValuesTerminate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data, err := json.Marshal(value(t, 3))
		assert.NilError(t, err)
		data = data[:rapid.IntRange(0, len(data)).Draw(t, "cut")]
		if len(data) > 0 {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] = rapid.SampledFrom([]byte(`{}[]",:\0 `)).Draw(t, "sign")
		}
		s := jsonscan.Scanner{Data: data}
		_ = s.Skip()
		assert.Assert(t, s.Pos <= len(data)+1)
		s.Pos = 0
		_ = s.Object(func(string) bool { return s.List(s.Skip) })
		s.Pos = 0
		_ = s.List(func() bool { _, ok := s.Text(); return ok })
	})
	deep := make([]byte, 1<<20)
	for i := range deep {
		deep[i] = '['
	}
	s := jsonscan.Scanner{Data: deep}
	assert.Assert(t, !s.Skip())
}
