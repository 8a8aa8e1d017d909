package scenarios

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamvale.example/hornbeamvale/standin/fleet/process"
	"hornbeamvale.example/hornbeamvale/standin/fleet/request"
)

const (
	// attemptTimeout bounds one attempt of a call.
	attemptTimeout = 100 * time.Second
	// retryDelay is the wait between two attempts.
	retryDelay = 50 * time.Millisecond
)

// The results of an attempt, besides a refusal's CODE/RUN.
const (
	resultOK  = "ok"
	resultCut = "cut" // the connection failed before the end of the answer
)

// transient holds the results that a caller may get while a VM fails or recovers. A call
// with -until is repeated after these and those of -again only.
var transient = map[string]bool{
	resultCut: true, "rate_limited": true, "owner_unavailable": true, "store_unavailable": true,
	"stale_configuration": true, "stopping": true, "overloaded": true, "no_replica": true, "turn_early": true,
}

// task is a call or a command that runs in the background.
type task struct {
	done   chan struct{} // closed when the task has ended
	err    error
	result string       // of the last attempt; valid after done
	tokens atomic.Int64 // chunks of the answer received so far
}

// runInBackground runs a function in the background under a name. The command await
// waits for its end.
func (f *fleet) runInBackground(name string, run func() error) *task {
	bg := &task{done: make(chan struct{})}
	f.mu.Lock()
	f.background[name] = bg
	f.mu.Unlock()
	go func() {
		defer close(bg.done)
		bg.err = run()
	}()
	return bg
}

// scriptCall is a call that a script makes.
type scriptCall struct {
	f         *fleet
	vms       []*process.VM // used in turn by the attempts
	call      request.Call
	chat      string // text of a chat; empty for a call of the service
	method    string
	path      string
	maxTokens int
	want      []string // accepted results
	until     bool     // repeat after transient results
	again     []string // further results after which to repeat
	out       string   // file for the answer; may be empty
	same      string   // file that an answer must equal; may be empty
	task      *task
}

// callCommand makes a call. Its result is ok, cut, or a refusal, written as CODE or
// CODE/RUN. -want lists the accepted results. With -until the call is repeated after
// transient results for at most waitTimeout, through each of the VMs in turn.
//
//	call [flags] VM[,VM] chat TEXT...
//	call [flags] VM[,VM] METHOD PATH
func callCommand(f *fleet, ts *testscript.TestScript, args []string) error {
	c := &scriptCall{f: f}
	flags := flag.NewFlagSet("call", flag.ContinueOnError)
	name := flags.String("bg", "", "run in the background")
	want := flags.String("want", resultOK, "accepted results")
	out := flags.String("o", "", "file for the answer")
	same := flags.String("same", "", "file that an answer must equal")
	flags.StringVar(&c.call.Key, "key", "alice-key", "caller's key")
	flags.StringVar(&c.call.Program, "program", "", "program")
	flags.StringVar(&c.call.Parent, "parent", "", "program above a sub-agent")
	flags.IntVar(&c.call.Turn, "turn", 0, "turn")
	flags.StringVar(&c.call.ID, "id", "", "idempotency key")
	again := flags.String("again", "", "further results after which -until repeats")
	conn := flags.String("conn", "", "name of a connection that is kept open between calls")
	flags.IntVar(&c.maxTokens, "max", 0, "max_tokens of a chat")
	flags.BoolVar(&c.until, "until", false, "repeat after transient results")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() < 3 {
		return errors.New("usage: call [flags] VM chat TEXT... | call [flags] VM METHOD PATH")
	}
	for text := range strings.SplitSeq(flags.Arg(0), ",") {
		v, _, err := f.vm(text)
		if err != nil {
			return err
		}
		c.vms = append(c.vms, v)
	}
	c.want, c.again = strings.Split(*want, ","), strings.Split(*again, ",")
	if *conn != "" {
		c.call.Client = f.client(*conn)
	}
	if *out != "" {
		c.out = ts.MkAbs(*out)
	}
	if *same != "" {
		c.same = ts.MkAbs(*same)
	}
	if flags.Arg(1) == "chat" {
		c.chat = strings.Join(flags.Args()[2:], " ")
	} else {
		c.method, c.path = flags.Arg(1), flags.Arg(2)
	}
	if *name == "" {
		c.task = &task{}
		return c.run()
	}
	ready := make(chan struct{}) // closed when c.task is set, which run uses
	c.task = f.runInBackground(*name, func() error { <-ready; return c.run() })
	close(ready)
	return nil
}

// run makes attempts until a result is accepted or must not be followed by another
// attempt.
func (c *scriptCall) run() error {
	stop := time.Now().Add(waitTimeout)
	for n := 0; ; n++ {
		answer, err := c.attempt(c.vms[n%len(c.vms)])
		result := resultOf(err)
		if c.path != "" {
			c.f.addResult(c.path, result)
		}
		c.task.result = result
		code, _, _ := strings.Cut(result, "/")
		if slices.Contains(c.want, result) || slices.Contains(c.want, code) {
			if result == resultOK {
				return c.accept(answer)
			}
			return c.write(answer)
		}
		if !c.until || !transient[code] && !slices.Contains(c.again, code) || time.Now().After(stop) {
			return fmt.Errorf("call %s%s: %s, want %s: %w", c.chat, c.path, result, strings.Join(c.want, " or "), err)
		}
		time.Sleep(retryDelay)
	}
}

// accept compares a complete answer with the one that it must equal, if any, and writes
// it.
func (c *scriptCall) accept(answer string) error {
	if c.same != "" {
		want, err := os.ReadFile(c.same)
		if err != nil {
			return err
		}
		if answer+"\n" != string(want) {
			return fmt.Errorf("call %s%s: answer %q, want %q", c.chat, c.path, answer, want)
		}
	}
	return c.write(answer)
}

// write writes an answer to the file that the script named, if any.
func (c *scriptCall) write(answer string) error {
	if c.out == "" {
		return nil
	}
	return os.WriteFile(c.out, []byte(answer+"\n"), 0o600)
}

func (c *scriptCall) attempt(v *process.VM) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	if c.chat != "" {
		return request.Chat(ctx, v.Caller, c.call, "cacao-agents", c.chat, c.maxTokens, func(string) { c.task.tokens.Add(1) })
	}
	return request.Service(ctx, v.Caller, c.call, "batch-ledger", c.method, c.path)
}

func resultOf(err error) string {
	var refused *request.Refused
	switch {
	case err == nil:
		return resultOK
	case errors.As(err, &refused):
		return refused.Code + "/" + refused.Run
	default:
		return resultCut
	}
}

// client returns the HTTP client that keeps the connection with this name open.
func (f *fleet) client(name string) *http.Client {
	if f.clients[name] == nil {
		f.clients[name] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	}
	return f.clients[name]
}

// addResult records the result of an attempt for the command consistent.
func (f *fleet) addResult(path, result string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results[path] = append(f.results[path], result)
}

// awaitCommand waits for the end of background tasks: await NAME...
func awaitCommand(f *fleet, ts *testscript.TestScript, args []string) error {
	for _, name := range args {
		bg, err := f.backgroundTask(name)
		if err != nil {
			return err
		}
		<-bg.done // ends, since its attempts and their number are bounded
		if bg.err != nil {
			return fmt.Errorf("%s: %w", name, bg.err)
		}
		ts.Logf("%s: %s", name, bg.result)
	}
	return nil
}

// streamingCommand waits until a chat in the background has received N chunks of its
// answer: streaming NAME N
func streamingCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	var n int64
	if len(args) != 2 {
		return errors.New("usage: streaming NAME N")
	}
	if _, err := fmt.Sscan(args[1], &n); err != nil {
		return err
	}
	bg, err := f.backgroundTask(args[0])
	if err != nil {
		return err
	}
	return waitFor(args[0]+" receives its answer", func(context.Context) bool { return bg.tokens.Load() >= n })
}

func (f *fleet) backgroundTask(name string) (*task, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if bg := f.background[name]; bg != nil {
		return bg, nil
	}
	return nil, fmt.Errorf("no background task has the name %q", name)
}

// runningCommand checks that a background task has not ended: running NAME
func runningCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: running NAME")
	}
	bg, err := f.backgroundTask(args[0])
	if err != nil {
		return err
	}
	select {
	case <-bg.done:
		return fmt.Errorf("%s has ended: %v", args[0], bg.err)
	default:
		return nil
	}
}
