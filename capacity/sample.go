package capacity

// Size is the size of a deployment.
type Size struct {
	Hosts      int // workers
	EntryHosts int
	Pools      int
	Teams      int
}

// Sample is one measured value.
type Sample struct {
	Series  string
	State   string // activity during the measurement
	Run     int    // repetition, from 1
	Size    Size
	Measure string
	Value   float64
}
