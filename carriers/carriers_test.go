package carriers_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateturn/agateturn/carriers"
)

var epoch = time.Unix(0, 0)

func hosts(large, small int) []carriers.Host {
	var out []carriers.Host
	for i := range large {
		out = append(out, carriers.Host{Name: fmt.Sprintf("large-%d", i), CPUMilli: 800})
	}
	for i := range small {
		out = append(out, carriers.Host{Name: fmt.Sprintf("small-%d", i), CPUMilli: 192})
	}
	return out
}

func Example() {
	s := carriers.NewShares("exports")
	s.Update(epoch, 40, hosts(3, 10))
	_, carried := s.Carrier("w1")
	fmt.Println("40 workers:", s.Carriers(), carried)
	s.Update(epoch, 400, hosts(3, 10))
	_, carried = s.Carrier("w1")
	fmt.Println("400 workers:", s.Carriers(), carried)
	// Output:
	// 40 workers: 0 false
	// 400 workers: 3 true
}

// Pattern: a pool grows to hundreds of workers for a burst. Its carriers have the processor time that the calls need, the
// largest hosts first, and workers are spread by processor time.
func TestWorkersOfALargePoolAreSpreadByProcessorTime(t *testing.T) {
	s := carriers.NewShares("p")
	s.Update(epoch, 480, hosts(2, 20))
	assert.Equal(t, s.Carriers(), 9)
	count := map[string]int{}
	for i := range 480 {
		h, ok := s.Carrier(fmt.Sprintf("w%d", i))
		assert.Assert(t, ok)
		count[h.Name]++
	}
	assert.Assert(t, count["large-0"] > 120 && count["large-1"] > 120, "%v", count)
	for name, n := range count {
		if name != "large-0" && name != "large-1" {
			assert.Assert(t, n >= 30 && n <= 36, "%v", count)
		}
	}
}

// Whatever happens to hosts and workers, a worker's carrier is a chosen host that has not failed recently, and it stays the
// same until it fails or is no longer chosen.
func TestWorkersKeepTheirCarrier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := carriers.NewShares("p")
		now := epoch
		carrierOf := map[string]string{}
		failedAt := map[string]time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				present := rapid.Permutation(hosts(3, 12)).Draw(t, "order")[:rapid.IntRange(0, 15).Draw(t, "hosts")]
				s.Update(now, rapid.IntRange(0, 600).Draw(t, "workers"), present)
				for w, name := range carrierOf {
					if !s.Has(name) {
						delete(carrierOf, w)
					}
				}
			case 1:
				name := hosts(3, 12)[rapid.IntRange(0, 14).Draw(t, "failed")].Name
				s.Fail(now, name)
				failedAt[name] = now
				for w, of := range carrierOf {
					if of == name {
						delete(carrierOf, w)
					}
				}
			default:
				w := fmt.Sprintf("w%d", rapid.IntRange(0, 20).Draw(t, "worker"))
				h, ok := s.Carrier(w)
				if !ok {
					assert.Equal(t, s.Carriers(), 0)
					continue
				}
				assert.Assert(t, s.Has(h.Name))
				if at, failed := failedAt[h.Name]; failed {
					assert.Assert(t, now.Sub(at) >= 4*time.Second, "%s failed %v ago", h.Name, now.Sub(at))
				}
				if before, had := carrierOf[w]; had {
					assert.Equal(t, h.Name, before)
				}
				carrierOf[w] = h.Name
			}
		}
	})
}
