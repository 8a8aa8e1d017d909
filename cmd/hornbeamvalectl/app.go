package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"hornbeamvale.example/hornbeamvale/internal/connection/operatorhttp"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// Exit codes. Scripts rely on their values.
const (
	exitSuccess     = 0
	exitOutput      = 1
	exitFindings    = 1 // of config check
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnreachable = 5
)

// usageError reports an error in the flags, the arguments or a local file.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return &usageError{err: fmt.Errorf(format, args...)}
}

// globalOptions apply to every command.
type globalOptions struct {
	Servers []string      `long:"server" value-name:"URL" env:"HORNBEAMVALE_SERVERS" env-delim:"," description:"operators' port of a VM; may be repeated, the next one is tried when one does not answer"`
	KeyFile string        `long:"key-file" value-name:"FILE" description:"file with the operators' key"`
	CA      string        `long:"tls-ca" value-name:"FILE" description:"authority of the servers' certificates"`
	Cert    string        `long:"tls-cert" value-name:"FILE" description:"client certificate"`
	Key     string        `long:"tls-key" value-name:"FILE" description:"key of the client certificate"`
	Timeout time.Duration `long:"timeout" default:"25s" description:"longest wait for one server"`
	Output  string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the result"`
}

// app holds the streams and global options of one command.
type app struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	global globalOptions
}

// run executes the command line and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdin: stdin, stdout: stdout}
	parser, err := a.parser()
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, err)
		return exitSuccess
	}
	if err != nil {
		fmt.Fprintln(stderr, "hornbeamvalectl:", err)
	}
	return exitCode(err)
}

// exitCode maps the result of a command to the exit code of the process.
func exitCode(err error) int {
	var (
		usage       *usageError
		flagsError  *flags.Error
		refused     *operatorhttp.Error
		unreachable *operatorhttp.UnreachableError
		store       *platform.Error
	)
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &usage), errors.As(err, &flagsError):
		return exitUsage
	case errors.Is(err, errFindings):
		return exitFindings
	case errors.As(err, &unreachable), errors.As(err, &store):
		return exitUnreachable
	case errors.As(err, &refused):
		switch refused.Code {
		case operatorhttp.Conflict:
			return exitConflict
		case operatorhttp.Unavailable:
			return exitUnreachable
		}
		return exitRefused
	}
	return exitOutput
}

// client returns a client for the servers given by --server.
func (a *app) client() (*operatorhttp.Client, error) {
	if len(a.global.Servers) == 0 {
		return nil, usagef("--server is required")
	}
	for _, s := range a.global.Servers {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, usagef("--server %q is not of the form https://IP:port", s)
		}
	}
	tlsConfig, err := a.tls()
	if err != nil {
		return nil, err
	}
	o := operatorhttp.ClientOptions{Servers: a.global.Servers, TLS: tlsConfig, Timeout: a.global.Timeout}
	if a.global.KeyFile != "" {
		key, err := os.ReadFile(a.global.KeyFile)
		if err != nil {
			return nil, usagef("--key-file: %w", err)
		}
		o.Key = strings.TrimSpace(string(key))
	}
	return operatorhttp.NewClient(o), nil
}

// tls returns the TLS configuration from the global options.
func (a *app) tls() (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if a.global.CA != "" {
		pem, err := os.ReadFile(a.global.CA)
		if err != nil {
			return nil, usagef("--tls-ca: %w", err)
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, usagef("--tls-ca: %s has no certificate", a.global.CA)
		}
	}
	if (a.global.Cert == "") != (a.global.Key == "") {
		return nil, usagef("--tls-cert and --tls-key go together")
	}
	if a.global.Cert != "" {
		certificate, err := tls.LoadX509KeyPair(a.global.Cert, a.global.Key)
		if err != nil {
			return nil, usagef("--tls-cert: %w", err)
		}
		c.Certificates = []tls.Certificate{certificate}
	}
	return c, nil
}
