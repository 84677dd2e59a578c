// Package bench compares strategies for allocating the slots of workers to entry hosts, on the same generated demand and
// in virtual time. The decision packages run unchanged; the network, the workers and the fleet's controller are small
// fakes behind their interfaces.
//
// Each service in turn receives five times its mean demand for some seconds, which exceeds the capacity of its pool, and
// a twentieth of it in between. The balancer is uneven and shifts its weights with each burst. At the peak of one burst
// an entry host dies (the dispatcher of that pool, if the strategy has dispatchers); in a later burst another entry host
// is frozen and then resumes.
//
// A run is single-threaded and repeatable: the same seed gives the same figures.
package bench
