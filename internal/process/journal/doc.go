// Package journal collects records and writes them to the platform in one
// transaction per interval (group commit). Each transaction also renews the lease
// of the member that writes it. The Batcher is a pure state machine that only the
// control loop uses. Write runs on a worker goroutine.
package journal
