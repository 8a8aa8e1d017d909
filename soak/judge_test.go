package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/platform/platformtest"
)

const (
	rate        = 120 // requests/s of the customer, and its burst
	budget      = 200 // tokens of a program
	mostTokens  = 50  // of one turn
	eventTokens = 14
	// rateWindow and rateSlack are those of the platform's rule for rates.
	rateWindow = 5 * time.Second
	rateOver   = 1.1
	rateSlack  = 20
)

// answer is what a caller received for one request.
type answer struct {
	id, path, body, program, parent string
	status                          int
	whole                           bool // the answer ended as complete
	tokens                          int
	sent, ended                     time.Time
	vm                              *vm
	stopping                        bool // a planned stop of the VM was under way
	lost                            bool // the connection ended without a whole answer
}

// judge collects what callers see and compares it with what replicas saw.
type judge struct {
	*soak
	mu      sync.Mutex
	answers map[string]*answer
	faulty  []string
}

func newJudge(s *soak) *judge { return &judge{soak: s, answers: map[string]*answer{}} }

func (j *judge) broken(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faulty = append(j.faulty, fmt.Sprintf(format, args...))
}

func (j *judge) add(a *answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers[a.id] = a
}

// waitUntilServed waits until every VM serves.
func (j *judge) waitUntilServed(limit time.Duration) {
	c := newCaller(j.soak, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), 999)
	for _, v := range j.vms {
		ok := false
		for end := time.Now().Add(limit); !ok && time.Now().Before(end); {
			ok = c.send(v, "/read/", nil, "", "").status == http.StatusOK
			time.Sleep(50 * time.Millisecond)
		}
		require.True(j.t, ok, "%s does not serve", v.name)
	}
}

// verdict checks everything at the end, when no request can run any more.
func (j *judge) verdict() {
	runs := map[string][]platformtest.Run{}
	for _, r := range j.replicas {
		for _, run := range r.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	tokens := map[string]int{}
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, a := range j.answers {
		j.checkRuns(a, runs[id])
		tokens[a.program] += a.tokens
	}
	for id := range runs {
		if j.answers[id] == nil {
			j.faulty = append(j.faulty, "request "+id+" ran and nobody sent it")
		}
	}
	for program, n := range tokens {
		if program != "" && n > budget+mostTokens {
			j.faulty = append(j.faulty, fmt.Sprintf("program %s got %d tokens of %d in %s", program, n, budget, j.turns(program)))
		}
	}
	j.checkRate(runs)
	require.Empty(j.t, j.faulty)
	served := 0
	for _, a := range j.answers {
		if a.status == http.StatusOK && a.whole {
			served++
		}
	}
	require.Greater(j.t, served, len(j.answers)/10, "hardly anything was served")
}

func (j *judge) fault(a *answer, format string, args ...any) {
	j.faulty = append(j.faulty, fmt.Sprintf("%s %s at %s, status %d: ", a.path, a.id, a.vm.name, a.status)+fmt.Sprintf(format, args...))
}

func (j *judge) checkRuns(a *answer, runs []platformtest.Run) {
	if a.path != "/read/" && len(runs) > 1 {
		j.fault(a, "ran %d times", len(runs))
	}
	switch a.status {
	case 402, 404, 401, 429, 503:
		if len(runs) > 0 {
			j.fault(a, "ran although it was refused")
		}
	case http.StatusOK:
		if a.whole && !slices.ContainsFunc(runs, func(r platformtest.Run) bool { return r.Tenant == "a" }) {
			j.fault(a, "succeeded without a run for its customer")
		}
		if a.whole && !strings.Contains(a.body, a.id) {
			j.fault(a, "the body is that of another request: %q", a.body)
		}
	}
	if a.status == 404 || a.status == 401 {
		j.fault(a, "denied; its parent is %q", a.parent)
	}
	if a.lost && a.stopping && len(runs) > 0 && j.calm(a.sent) {
		j.fault(a, "cut by a planned stop")
	}
	if len(runs) == 1 && a.path == "/chat/" {
		if want := j.prompt(a); runs[0].Body != want {
			j.fault(a, "the replica read %q, not %q", runs[0].Body, want)
		}
	}
}

// turns lists the turns of a program in the order in which they were sent.
func (j *judge) turns(program string) string {
	var all []*answer
	for _, a := range j.answers {
		if a.program == program {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b *answer) int { return a.sent.Compare(b.sent) })
	var out strings.Builder
	for _, a := range all {
		fmt.Fprintf(&out, " %s(%d, whole %v, %d tokens)", a.id, a.status, a.whole, a.tokens)
	}
	return out.String()
}

// prompt returns what the replica has to read for a turn.
func (j *judge) prompt(a *answer) string {
	text := "in-" + a.id + " "
	for id := a.parent; id != ""; id = j.answers[id].parent {
		var out strings.Builder
		for i := range 3 {
			fmt.Fprintf(&out, "%s.%d\n", id, i+1)
		}
		text = "in-" + id + " " + out.String() + text
	}
	return text
}

// checkRate compares the requests that ran in each window with the rate.
func (j *judge) checkRate(runs map[string][]platformtest.Run) {
	var at []time.Time
	for id, x := range runs {
		if a := j.answers[id]; a != nil && len(x) > 0 {
			at = append(at, a.sent)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	bound := int((rate*rateWindow.Seconds()+rate)*rateOver) + rateSlack
	for i, from := range at {
		n := 0
		for n < len(at)-i && at[i+n].Sub(from) <= rateWindow {
			n++
		}
		if n > bound {
			j.faulty = append(j.faulty, fmt.Sprintf("%d requests ran in %v, the bound is %d", n, rateWindow, bound))
			return
		}
	}
}

// caller runs programs one after another.
type caller struct {
	*soak
	random *rand.Rand
	client *http.Client
	number int
	sent   int
}

func newCaller(s *soak, random *rand.Rand, number int) *caller {
	c := &caller{soak: s, random: random, number: number}
	c.client = &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	s.t.Cleanup(c.client.CloseIdleConnections)
	return c
}

// run runs programs until stop is closed. A program that fails is given up.
func (c *caller) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		program, parent := fmt.Sprintf("p%d-%d", c.number, n), ""
		v := c.vms[c.random.IntN(len(c.vms))]
		for range 2 + c.random.IntN(5) {
			select {
			case <-stop:
				return
			default:
			}
			if c.random.IntN(3) == 0 {
				v = c.vms[c.random.IntN(len(c.vms))]
			}
			c.send(v, []string{"/read/", "/pay/"}[c.random.IntN(2)], []byte("x"), "", "")
			a := c.send(v, "/chat/", nil, program, parent)
			if a.status == http.StatusOK && a.whole {
				parent = a.id
			} else {
				v = c.vms[c.random.IntN(len(c.vms))]
			}
		}
	}
}

// send sends one request with a new id and keeps its answer.
func (c *caller) send(v *vm, path string, body []byte, program, parent string) *answer {
	c.sent++
	a := &answer{
		id: fmt.Sprintf("%04x%012x", c.number, c.sent), path: path, program: program, parent: parent,
		vm: v, sent: time.Now(), stopping: v.stopping(),
	}
	if c.number == 999 {
		a.id = fmt.Sprintf("%016x", c.random.Uint64())
	}
	defer func() {
		a.ended = time.Now()
		a.stopping = a.stopping || v.stopping()
		c.judge.add(a)
	}()
	if path == "/chat/" {
		body = []byte("in-" + a.id + " ")
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+v.address()+path+"1", bytes.NewReader(body))
	require.NoError(c.t, err)
	req.Host = "app.example"
	req.Header.Set("Hornbeamvale-Attempt-Id", a.id)
	req.Header.Set("Hornbeamvale-Credential", "key-a")
	req.Header.Set("Hornbeamvale-Deadline-Ms", "3000")
	if program != "" {
		req.Header.Set("Hornbeamvale-Program-Id", program)
		req.Header.Set("Hornbeamvale-Token-Usage", fmt.Sprintf("10,%d", mostTokens))
		req.Header.Set("Hornbeamvale-Token-Budget", fmt.Sprint(budget))
		if parent != "" {
			req.Header.Set("Hornbeamvale-Previous-Turn", parent)
		}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		a.lost = true
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.status, a.body, a.whole = resp.StatusCode, string(data), err == nil
	a.lost = err != nil
	a.tokens = eventTokens * strings.Count(a.body, "data: ")
	return a
}
