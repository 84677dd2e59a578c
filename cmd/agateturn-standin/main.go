// Command agateturn-standin plays the outside systems in demos and tests: the platform, the workers and the callers.
package main

func main() {}
