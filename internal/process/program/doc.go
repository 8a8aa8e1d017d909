// Package program keeps the table of program runs that this VM owns: the order
// of turns, budgets, intents and outcomes of non-idempotent calls, references to
// the history, and the replicas that hold a run's KV cache. The package does no
// I/O: the control loop calls it, journals the records that it returns and reports
// when they are durable.
package program
