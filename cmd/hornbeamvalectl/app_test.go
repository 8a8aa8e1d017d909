package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/connection/operatorhttp"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/operator"
)

// fakeBackend returns fixed values. A call of any other method panics, as the embedded
// interface is nil.
type fakeBackend struct {
	operatorhttp.Backend
	submission operatorhttp.Submission
	settlement operatorhttp.Settlement
}

func (f *fakeBackend) Submit(_ context.Context, s operatorhttp.Submission) (operatorhttp.Accepted, error) {
	f.submission = s
	if s.Base != 4 {
		return operatorhttp.Accepted{}, operatorhttp.NewConflict(s.Base, 4)
	}
	return operatorhttp.Accepted{Version: 5, SubmissionID: s.SubmissionID}, nil
}

func (f *fakeBackend) Current(context.Context) (operatorhttp.Configuration, error) {
	return operatorhttp.Configuration{}, operatorhttp.NewError(operatorhttp.Unavailable, "the store did not answer")
}

func (f *fakeBackend) Events(context.Context, string) (operatorhttp.EventPage, error) {
	return operatorhttp.EventPage{Events: []eventlog.Event{{VM: "entry-01", Kind: eventlog.TurnEnded, Detail: "a\x1b[2Jb"}}}, nil
}

func (f *fakeBackend) Settle(_ context.Context, s operatorhttp.Settlement) error {
	f.settlement = s
	return nil
}

type result struct {
	code           int
	stdout, stderr string
}

func ctl(t *testing.T, stdin string, args ...string) result {
	var out, errs bytes.Buffer
	code := run(t.Context(), args, strings.NewReader(stdin), &out, &errs)
	return result{code, out.String(), errs.String()}
}

func start(t *testing.T, f *fakeBackend) (server, keyFile string) {
	s := httptest.NewServer(operatorhttp.NewHandler(operatorhttp.ServerOptions{
		Backend: f, KeyDigest: sha256.Sum256([]byte("k")), HasKey: true,
		Metrics: http.NotFoundHandler(), Ready: func() error { return nil },
	}))
	t.Cleanup(s.Close)
	keyFile = filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(keyFile, []byte("k\n"), 0o600))
	return "--server=" + s.URL, "--key-file=" + keyFile
}

const document = `{"fleet":{"seats":10},"customers":[],"programs":[],"endpoints":[]}`

// TestExitCodes guards against wrong exit codes. Scripts use them to distinguish a
// conflict, a refusal and a fleet that does not answer.
func TestExitCodes(t *testing.T) {
	server, key := start(t, &fakeBackend{})
	unreachable := "--server=http://127.0.0.1:1"
	for name, c := range map[string]struct {
		code int
		in   string
		args []string
	}{
		"accepted":          {exitSuccess, document, []string{server, key, "submit", "--base=4", "-"}},
		"next server":       {exitSuccess, document, []string{unreachable, server, key, "submit", "--base=4", "-"}},
		"help":              {exitSuccess, "", []string{"--help"}},
		"completion":        {exitSuccess, "", []string{"completion"}},
		"no command":        {exitUsage, "", []string{server}},
		"no server":         {exitUsage, "", []string{"show"}},
		"no base":           {exitUsage, document, []string{server, key, "submit", "-"}},
		"unknown field":     {exitUsage, `{"flet":{}}`, []string{server, key, "submit", "--base=4", "-"}},
		"trailing data":     {exitUsage, document + "{}", []string{server, key, "submit", "--base=4", "-"}},
		"no file":           {exitUsage, "", []string{server, key, "submit", "--base=4", "missing.json"}},
		"drain both":        {exitUsage, "", []string{server, key, "drain", "--vm=a", "--endpoint=b"}},
		"bad outcome":       {exitUsage, "", []string{server, key, "settle", "p:1", "r", "maybe"}},
		"no key":            {exitRefused, "", []string{server, "show"}},
		"conflict":          {exitConflict, document, []string{server, key, "submit", "--base=3", "-"}},
		"unreachable":       {exitUnreachable, "", []string{unreachable, "status"}},
		"store unavailable": {exitUnreachable, "", []string{server, key, "show"}},
	} {
		r := ctl(t, c.in, c.args...)
		assert.Equal(t, c.code, r.code, "%s: %s", name, r.stderr)
		assert.Equal(t, c.code == exitSuccess, r.stderr == "", name)
	}
}

// TestSubmitAndSettle guards against arguments that are sent in the wrong field.
func TestSubmitAndSettle(t *testing.T) {
	f := &fakeBackend{}
	server, key := start(t, f)
	r := ctl(t, document, server, key, "--output=json", "submit", "--base=4", "--submission-id=s1", "-")
	var a operatorhttp.Accepted
	require.NoError(t, json.Unmarshal([]byte(r.stdout), &a))
	assert.Equal(t, operatorhttp.Accepted{Version: 5, SubmissionID: "s1"}, a)
	assert.Equal(t, operator.Fleet{Seats: 10}, f.submission.Document.Fleet)

	r = ctl(t, "", server, key, "settle", "p:1", "r1", "not_run")
	require.Zero(t, r.code, r.stderr)
	assert.Equal(t, operatorhttp.Settlement{Run: "p:1", RequestID: "r1", Outcome: "not_run"}, f.settlement)
}

// TestLostAnswerNamesTheSubmission guards against an error without the submission id,
// which the operator needs to repeat the change safely.
func TestLostAnswerNamesTheSubmission(t *testing.T) {
	r := ctl(t, "", "--server=http://127.0.0.1:1", "drain", "--vm=a", "--submission-id=s7")
	assert.Equal(t, exitUnreachable, r.code)
	assert.Contains(t, r.stderr, "s7")
}

// TestTableHasNoControlCharacters guards against escape sequences in text from callers
// that reach the operator's terminal.
func TestTableHasNoControlCharacters(t *testing.T) {
	server, key := start(t, &fakeBackend{})
	r := ctl(t, "", server, key, "events", "--program=p:1")
	require.Zero(t, r.code, r.stderr)
	assert.Contains(t, r.stdout, "turn_ended")
	assert.NotContains(t, r.stdout, "\x1b")
}
