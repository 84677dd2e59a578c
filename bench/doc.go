// Package bench measures ways of sharing the slots of workers out over entry hosts on the same generated demand, in
// virtual time. The decision packages run as they are; the network, the workers and the fleet's controller are small
// fakes at their interfaces.
//
// Each service in turn is asked for five times its mean for some seconds, more than its pool holds, and for a twentieth
// in between. The balancer is uneven and changes its mind with each burst. At the peak of one burst an entry host dies
// (the dispatcher of that pool, where a way has dispatchers); in a later one another entry host is frozen and goes on.
//
// A run is single-threaded and repeatable: the same seed gives the same figures.
package bench
