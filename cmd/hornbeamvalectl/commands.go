package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"hornbeamvale.example/hornbeamvale/internal/connection/operatorhttp"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/operator"
)

// parser returns the command-line parser with all commands.
func (a *app) parser() (*flags.Parser, error) {
	p := flags.NewNamedParser("hornbeamvalectl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Operators' client of hornbeamvale. Exit codes: 0 success, 1 output failed, " +
		"2 usage, 3 refused, 4 conflict, 5 unreachable."
	if _, err := p.AddGroup("Global options", "", &a.global); err != nil {
		return nil, err
	}
	for _, c := range []struct {
		name, short string
		command     flags.Commander
	}{
		{"submit", "Submit a configuration document", &submitCommand{app: a}},
		{"show", "Show the configuration in force", &showCommand{app: a}},
		{"withdraw-key", "Withdraw a customer's key", &withdrawCommand{app: a}},
		{"drain", "Keep new work from an endpoint or a VM", &drainCommand{app: a}},
		{"status", "Show VMs and endpoints", &statusCommand{app: a}},
		{"events", "Show the time line of a program run", &eventsCommand{app: a}},
		{"settle", "Tell the outcome of a call that was left unknown", &settleCommand{app: a}},
		{"completion", "Print the completion script for bash", &completionCommand{app: a}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.short+".", c.command); err != nil {
			return nil, err
		}
	}
	config, err := p.AddCommand("config", "Work with the configuration of the users' platform", "Work with the configuration of the users' platform.", &struct{}{})
	if err != nil {
		return nil, err
	}
	_, err = config.AddCommand("check", "Check a configuration before it is written", "Check a configuration before it is written. Exit code 1: with findings.", &checkCommand{app: a})
	return p, err
}

// rejectArguments returns a usage error if positional arguments are left over.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	return nil
}

// changeOptions are the options of commands that create a new configuration version.
type changeOptions struct {
	SubmissionID string `long:"submission-id" value-name:"ID" description:"id of the change; a repeat with the same id is applied once (random if not given)"`
}

// id returns the submission id of the command line, or a random one.
func (o changeOptions) id() string {
	if o.SubmissionID != "" {
		return o.SubmissionID
	}
	return operatorhttp.NewSubmissionID()
}

// call sends one request and prints its result.
func call[A any](a *app, args []string, request func(*operatorhttp.Client) (A, error)) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	defer c.Close()
	result, err := request(c)
	if err != nil {
		return err
	}
	return a.print(result)
}

// change sends a request that creates a new configuration version. An error contains
// the submission id, so that the command can be repeated safely if the response was lost.
func change(a *app, args []string, o changeOptions, request func(c *operatorhttp.Client, id string) (operatorhttp.Accepted, error)) error {
	return call(a, args, func(c *operatorhttp.Client) (operatorhttp.Accepted, error) {
		id := o.id()
		accepted, err := request(c, id)
		if err != nil {
			err = fmt.Errorf("submission %s: %w", id, err)
		}
		return accepted, err
	})
}

type submitCommand struct {
	changeOptions
	app  *app
	Base uint64 `long:"base" required:"yes" value-name:"VERSION" description:"version that the document was made from"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON document; - reads standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (s *submitCommand) Execute(args []string) error {
	doc, err := s.app.readDocument(s.Args.File)
	if err != nil {
		return err
	}
	return change(s.app, args, s.changeOptions, func(c *operatorhttp.Client, id string) (operatorhttp.Accepted, error) {
		return c.Submit(s.app.ctx, operatorhttp.Submission{Base: s.Base, SubmissionID: id, Document: doc})
	})
}

// readDocument decodes a configuration document. It rejects unknown fields here, because
// decoding drops them and the server would not see them.
func (a *app) readDocument(name string) (*operator.Document, error) {
	in := a.stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, usagef("%w", err)
		}
		defer f.Close()
		in = f
	}
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	doc := &operator.Document{}
	if err := d.Decode(doc); err != nil {
		return nil, usagef("%s: %w", name, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, usagef("%s: data after the document", name)
	}
	return doc, nil
}

type showCommand struct{ app *app }

func (s *showCommand) Execute(args []string) error {
	return call(s.app, args, func(c *operatorhttp.Client) (operatorhttp.Configuration, error) {
		return c.Current(s.app.ctx)
	})
}

type withdrawCommand struct {
	changeOptions
	app      *app
	Customer string `long:"customer" required:"yes" value-name:"NAME" description:"owner of the key"`
	Args     struct {
		KeyID string `positional-arg-name:"KEY-ID"`
	} `positional-args:"yes" required:"yes"`
}

func (w *withdrawCommand) Execute(args []string) error {
	return change(w.app, args, w.changeOptions, func(c *operatorhttp.Client, id string) (operatorhttp.Accepted, error) {
		return c.WithdrawKey(w.app.ctx, operatorhttp.KeyWithdrawal{
			Customer: w.Customer, KeyID: w.Args.KeyID, SubmissionID: id,
		})
	})
}

type drainCommand struct {
	changeOptions
	app      *app
	Endpoint string `long:"endpoint" value-name:"NAME" description:"endpoint to drain"`
	VM       string `long:"vm" value-name:"ID" description:"VM to drain"`
	Undo     bool   `long:"undo" description:"let new work in again"`
}

func (d *drainCommand) Execute(args []string) error {
	if (d.Endpoint == "") == (d.VM == "") {
		return usagef("exactly one of --endpoint and --vm is required")
	}
	return change(d.app, args, d.changeOptions, func(c *operatorhttp.Client, id string) (operatorhttp.Accepted, error) {
		return c.Drain(d.app.ctx, operatorhttp.Drain{
			Endpoint: d.Endpoint, VM: d.VM, Undo: d.Undo, SubmissionID: id,
		})
	})
}

type statusCommand struct{ app *app }

func (s *statusCommand) Execute(args []string) error {
	return call(s.app, args, func(c *operatorhttp.Client) (operatorhttp.Status, error) {
		return c.Status(s.app.ctx)
	})
}

type eventsCommand struct {
	app     *app
	Program string `long:"program" required:"yes" value-name:"RUN" description:"program run with its customer, for example growers/booking:4711; sub-agents are included"`
}

func (e *eventsCommand) Execute(args []string) error {
	return call(e.app, args, func(c *operatorhttp.Client) (operatorhttp.EventPage, error) {
		return c.Events(e.app.ctx, e.Program)
	})
}

type settleCommand struct {
	app  *app
	Args struct {
		Run       string `positional-arg-name:"RUN"`
		RequestID string `positional-arg-name:"REQUEST-ID"`
		Outcome   string `positional-arg-name:"ran|not_run"`
	} `positional-args:"yes" required:"yes"`
}

func (s *settleCommand) Execute(args []string) error {
	settlement := operatorhttp.Settlement{
		Run: s.Args.Run, RequestID: s.Args.RequestID, Outcome: refusal.RunState(s.Args.Outcome),
	}
	if settlement.Outcome != refusal.Ran && settlement.Outcome != refusal.NotRun {
		return usagef("the outcome %q must be ran or not_run", s.Args.Outcome)
	}
	return call(s.app, args, func(c *operatorhttp.Client) (operatorhttp.Settlement, error) {
		return settlement, c.Settle(s.app.ctx, settlement)
	})
}

// completionScript uses the completion mode of go-flags: with GO_FLAGS_COMPLETION=1 the
// program prints the possible completions.
const completionScript = `_hornbeamvalectl() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
    return 0
}
complete -F _hornbeamvalectl hornbeamvalectl
`

type completionCommand struct{ app *app }

func (c *completionCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	_, err := io.WriteString(c.app.stdout, completionScript)
	return err
}
