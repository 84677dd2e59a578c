package jobstate

// Ref refers to a job in the store.
type Ref struct {
	// Pool is the pool under which the job is stored. If Address is set, it is only the one that the configuration in force names
	// for the address, and applies if the address has no location.
	Pool, ID string
	// Address is the address of the job if its location is not known.
	Address string
}
