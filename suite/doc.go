// Package suite proves the system's guarantees on its real processes under
// failure: scripted scenarios, histories of concurrent runs and a seeded storm.
package suite
