// Package configuration stores and loads configuration versions in the platform's
// services. Version numbers only increase: a submission is committed only if the head
// row is still the one that it was based on. The functions do I/O and run on worker
// goroutines. The control loop, and not this package, puts a loaded version in force.
package configuration
