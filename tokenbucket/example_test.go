package tokenbucket_test

import (
	"fmt"
	"time"

	"github.com/agateturn/agateturn/tokenbucket"
)

func Example() {
	var bucket tokenbucket.Bucket
	start := time.Unix(1000, 0)
	fmt.Println(bucket.Take(start, 1, 2), bucket.Take(start, 1, 2), bucket.Take(start, 1, 2))
	fmt.Println(bucket.Take(start.Add(time.Second), 1, 2))
	bucket.Deposit(5, 3)
	later := start.Add(time.Hour)
	fmt.Println(bucket.Take(later, 1, 2), bucket.Take(later, 1, 2), bucket.Take(later, 1, 2), bucket.Take(later, 1, 2))
	// Output:
	// true true false
	// true
	// true true true false
}
