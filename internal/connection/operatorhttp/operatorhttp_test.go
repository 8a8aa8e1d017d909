package operatorhttp

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/operator"
)

const testKey = "operator-key"

// fakeBackend is a Backend that counts versions and keeps the last request of each kind.
type fakeBackend struct {
	version    uint64
	withdrawn  KeyWithdrawal
	drain      Drain
	settled    Settlement
	currentErr error // returned by Current
}

func (b *fakeBackend) Submit(_ context.Context, s Submission) (Accepted, error) {
	if s.Base != b.version {
		return Accepted{}, NewConflict(s.Base, b.version)
	}
	if _, err := version.Compile(s.Document, b.version+1); err != nil {
		return Accepted{}, err
	}
	b.version++
	return Accepted{Version: b.version, SubmissionID: s.SubmissionID}, nil
}

func (b *fakeBackend) Current(context.Context) (Configuration, error) {
	return Configuration{Version: b.version, Document: &operator.Document{}}, b.currentErr
}

func (b *fakeBackend) WithdrawKey(_ context.Context, w KeyWithdrawal) (Accepted, error) {
	b.withdrawn = w
	return Accepted{Version: b.version}, nil
}

func (b *fakeBackend) Drain(_ context.Context, d Drain) (Accepted, error) {
	b.drain = d
	return Accepted{Version: b.version}, nil
}

func (b *fakeBackend) Status(context.Context) (Status, error) { return Status{VM: "entry-01"}, nil }

func (b *fakeBackend) Events(_ context.Context, run string) (EventPage, error) {
	return EventPage{Events: []eventlog.Event{{Run: run}}, MissingVMs: []string{"entry-02"}}, nil
}

func (b *fakeBackend) Settle(_ context.Context, s Settlement) error { b.settled = s; return nil }

func start(t *testing.T, b *fakeBackend) *httptest.Server {
	s := httptest.NewServer(NewHandler(ServerOptions{
		Backend: b, KeyDigest: sha256.Sum256([]byte(testKey)), HasKey: true,
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "m 1\n") }),
		Ready:   func() error { return errors.New("no lease") },
	}))
	t.Cleanup(s.Close)
	return s
}

func client(t *testing.T, key string, servers ...string) *Client {
	c := NewClient(ClientOptions{Servers: servers, Key: key})
	t.Cleanup(c.Close)
	return c
}

func requireCode(t *testing.T, err error, code Code) *Error {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, code, e.Code, e.Message)
	return e
}

// TestOperations guards against a path or field that differs between client and server.
func TestOperations(t *testing.T) {
	b, ctx := &fakeBackend{}, t.Context()
	c := client(t, testKey, start(t, b).URL)
	doc := &operator.Document{Fleet: operator.Fleet{Seats: 10}}

	a, err := c.Submit(ctx, Submission{Base: 0, SubmissionID: "s1", Document: doc})
	require.NoError(t, err)
	assert.Equal(t, Accepted{Version: 1, SubmissionID: "s1"}, a)
	current, err := c.Current(ctx)
	require.NoError(t, err)
	assert.Equal(t, uint64(1), current.Version)

	w := KeyWithdrawal{Customer: "coop", KeyID: "k1", SubmissionID: "s2"}
	_, err = c.WithdrawKey(ctx, w)
	require.NoError(t, err)
	assert.Equal(t, w, b.withdrawn)
	d := Drain{VM: "entry-03", Undo: true, SubmissionID: "s3"}
	_, err = c.Drain(ctx, d)
	require.NoError(t, err)
	assert.Equal(t, d, b.drain)
	s := Settlement{Run: "booking:1", RequestID: "r", Outcome: refusal.Ran}
	require.NoError(t, c.Settle(ctx, s))
	assert.Equal(t, s, b.settled)

	status, err := c.Status(ctx)
	require.NoError(t, err)
	assert.Equal(t, "entry-01", status.VM)
	page, err := c.Events(ctx, "booking:1/a b&c")
	require.NoError(t, err)
	assert.Equal(t, "booking:1/a b&c", page.Events[0].Run)
	assert.Equal(t, []string{"entry-02"}, page.MissingVMs)
}

// TestTypedErrors guards against errors that reach the client without the version in
// force or without the document's faults, and against internal texts in an answer.
func TestTypedErrors(t *testing.T) {
	b, ctx := &fakeBackend{version: 7, currentErr: errors.New("dial 10.0.0.9: secret")}, t.Context()
	c := client(t, testKey, start(t, b).URL)

	_, err := c.Submit(ctx, Submission{Base: 3, SubmissionID: "s", Document: &operator.Document{}})
	assert.Equal(t, uint64(7), requireCode(t, err, Conflict).Version)
	_, err = c.Submit(ctx, Submission{Base: 7, SubmissionID: "s", Document: &operator.Document{}})
	assert.Equal(t, "fleet.seats", requireCode(t, err, InvalidDocument).Faults[0].Path)
	_, err = c.Current(ctx)
	assert.NotContains(t, requireCode(t, err, Internal).Message, "10.0.0.9")
	_, err = c.Drain(ctx, Drain{VM: "a", Endpoint: "b", SubmissionID: "s"})
	requireCode(t, err, BadRequest)
	requireCode(t, c.Settle(ctx, Settlement{Run: "p:1", RequestID: "r", Outcome: refusal.Unknown}), BadRequest)
	_, err = c.Events(ctx, "")
	requireCode(t, err, BadRequest)
}

// TestBodyIsRefused guards against a misspelt field that silently leaves a limit at zero,
// and against data after the JSON value.
func TestBodyIsRefused(t *testing.T) {
	s := start(t, &fakeBackend{})
	for _, body := range []string{
		`{"base":0,"submission_id":"s","document":{"fleet":{"seats":1,"drained":[]}}}`,
		`{"base":0,"submission_id":"s","document":{"fleet":{"seats":1}}} {}`,
		`{"base":0,"submission_id":"s"}`,
		``,
	} {
		r, err := http.NewRequest(http.MethodPost, s.URL+"/v1/config", strings.NewReader(body))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		resp.Body.Close()
		assert.Equal(t, http.StatusBadRequest, resp.StatusCode, body)
	}
}

// TestKeyIsRequired guards against an operation that runs without the key.
func TestKeyIsRequired(t *testing.T) {
	b := &fakeBackend{}
	s := start(t, b)
	for _, key := range []string{"", "wrong", testKey + "x"} {
		c := client(t, key, s.URL)
		_, err := c.Submit(t.Context(), Submission{SubmissionID: "s", Document: &operator.Document{Fleet: operator.Fleet{Seats: 1}}})
		requireCode(t, err, Unauthenticated)
		_, err = c.Status(t.Context())
		requireCode(t, err, Unauthenticated)
	}
	assert.Zero(t, b.version)
}

// TestHealthWithoutKey guards against health checks that need a key, and against a ready
// answer of a process that is not ready.
func TestHealthWithoutKey(t *testing.T) {
	s := start(t, &fakeBackend{})
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 503, "/metrics": 200, "/v1/status": 401, "/other": 401} {
		resp, err := http.Get(s.URL + path)
		require.NoError(t, err)
		resp.Body.Close()
		assert.Equal(t, want, resp.StatusCode, path)
	}
}

// TestNextServerIsTried guards against a client that gives up at the first VM that is
// gone, and against one that tries another VM after an error answer.
func TestNextServerIsTried(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := "http://" + l.Addr().String()
	l.Close()
	s := start(t, &fakeBackend{})

	_, err = client(t, testKey, gone, s.URL).Status(t.Context())
	require.NoError(t, err)
	_, err = client(t, "wrong", s.URL, gone).Status(t.Context())
	requireCode(t, err, Unauthenticated)

	_, err = client(t, testKey, gone, gone).Status(t.Context())
	var e *UnreachableError
	require.ErrorAs(t, err, &e)
	assert.Len(t, e.Attempts, 2)
}

// FuzzSubmission guards against a panic of the decoder, and against a submission that
// reaches the backend without a document or submission id.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(`{"base":1,"submission_id":"s","document":{"fleet":{"seats":1},"customers":null}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		answer, err := withBody(func(_ context.Context, s Submission) (Accepted, error) {
			require.NotNil(t, s.Document)
			require.NotEmpty(t, s.SubmissionID)
			_, err := version.Compile(s.Document, 1)
			return Accepted{}, err
		})(httptest.NewRequest(http.MethodPost, "/v1/config", bytes.NewReader(body)))
		if err == nil {
			require.Equal(t, Accepted{}, answer)
			return
		}
		require.NotEqual(t, Internal, toError(err).Code)
	})
}
