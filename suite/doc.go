// Package suite holds the end-to-end tests. They check the system's guarantees while
// components fail: scripted scenarios and a randomized fault injection test on real
// processes, and consistency checks of the histories of concurrent operations.
package suite
