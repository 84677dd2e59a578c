package quota

import "slices"

// share divides a resource max-min fairly: each gets a common level, but at least its floor and at most its demand.
func (p *plan) share(total vector, of func(*candidate) (floor, demand vector)) []vector {
	out := make([]vector, len(p.all))
	floors, demands := make([]int64, len(p.all)), make([]int64, len(p.all))
	for r := range total {
		if p.cap[r] == 0 {
			continue
		}
		for i, c := range p.all {
			floor, demand := of(c)
			floors[i], demands[i] = floor[r], max(floor[r], demand[r])
		}
		for i, v := range waterFill(total[r], floors, demands) {
			out[i][r] = v
		}
	}
	return out
}

func waterFill(total int64, floors, demands []int64) []int64 {
	sum := func(level int64) (sum int64) {
		for i := range demands {
			sum += min(max(level, floors[i]), demands[i])
		}
		return sum
	}
	low, high := int64(0), slices.Max(demands)
	if sum(high) > total {
		for low < high {
			middle := (low + high + 1) / 2
			if sum(middle) <= total {
				low = middle
			} else {
				high = middle - 1
			}
		}
	}
	level := high
	left := total - sum(level)
	out := make([]int64, len(demands))
	for i := range demands {
		out[i] = min(max(level, floors[i]), demands[i])
		if left > 0 && out[i] < demands[i] {
			out[i]++
			left--
		}
	}
	return out
}
