// Command hornbeamvalectl is the command-line client for operators of hornbeamvale.
//
// Exit codes:
//
//	0  success
//	1  the result could not be written; config check has findings
//	2  usage: flags, arguments or local files
//	3  the server refused the request
//	4  conflict: another version is in force; the message names it
//	5  no server answered, or the server could not reach the store; repeat the
//	   command with the same --submission-id
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
