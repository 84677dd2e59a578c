package routing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick measures one Pick and the Observe of its success.
func BenchmarkPick(b *testing.B) {
	for _, hosts := range []int{12, 200} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			r := newRouter(Options{})
			var pool []Candidate
			for i := range hosts {
				pool = append(pool, candidate(fmt.Sprint("w", i), 1+i%8))
			}
			digest := uint64(0)
			for b.Loop() {
				digest++
				host, _ := r.Pick(start, Request{Service: "s", ExpectedRun: time.Second}, pool)
				r.succeed(host, digest)
			}
		})
	}
}
