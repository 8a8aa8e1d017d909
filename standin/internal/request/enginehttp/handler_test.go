package enginehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/engine"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/loop"
)

// waitLimit is the maximum duration of a wait in these tests.
const waitLimit = 20 * time.Second

type client struct {
	t    *testing.T
	base string
}

func start(t *testing.T, c engine.Config) client {
	stateLoop := loop.New(engine.NewState(c))
	ctx, cancel := context.WithCancel(context.Background())
	go stateLoop.Run(ctx)
	server := httptest.NewServer(New(stateLoop))
	t.Cleanup(func() { server.Close(); cancel() })
	return client{t, server.URL}
}

func config() engine.Config {
	return engine.Config{StepTime: 100 * time.Microsecond, BatchLimit: 4, PrefillTokens: 512, Blocks: 64, CheckFence: true}
}

func (c client) do(ctx context.Context, method, path, program, body string) *http.Response {
	c.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, strings.NewReader(body))
	require.NoError(c.t, err)
	r.Header.Set(programHeader, program)
	response, err := http.DefaultClient.Do(r)
	require.NoError(c.t, err)
	c.t.Cleanup(func() { response.Body.Close() })
	return response
}

func (c client) send(path, body string, want int) {
	c.t.Helper()
	response := c.do(c.t.Context(), http.MethodPost, path, "", body)
	require.Equal(c.t, want, response.StatusCode)
}

func (c client) blocks() map[string]int {
	c.t.Helper()
	var b blocksAnswer
	require.NoError(c.t, json.NewDecoder(c.do(c.t.Context(), http.MethodGet, "/v1/cache/blocks", "", "").Body).Decode(&b))
	return b.Programs
}

func (c client) load() (l engine.Load) {
	c.t.Helper()
	require.NoError(c.t, json.NewDecoder(c.do(c.t.Context(), http.MethodGet, "/v1/load", "", "").Body).Decode(&l))
	return l
}

// chat sends a chat request and returns the text, the number of tokens and the usage of
// the stream. usage is nil if the stream was cut.
func (c client) chat(program, body string) (text string, tokens int, usage *engine.Usage) {
	c.t.Helper()
	response := c.do(c.t.Context(), http.MethodPost, "/v1/chat/completions", program, body)
	require.Equal(c.t, http.StatusOK, response.StatusCode)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var a chatAnswer
		require.NoError(c.t, json.Unmarshal([]byte(data), &a))
		if a.Usage != nil {
			require.NoError(c.t, func() error { _, err := io.Copy(io.Discard, response.Body); return err }())
			return text, tokens, a.Usage
		}
		text, tokens = text+a.Choices[0].Delta.Content, tokens+1
	}
	return text, tokens, nil
}

const question = `{"role":"user","content":"how many sacks of beans are in the north store today"}`

func body(fields string, messages ...string) string {
	return fmt.Sprintf(`{"stream":true,"messages":[%s]%s}`, strings.Join(messages, ","), fields)
}

func assistant(text string) string { return fmt.Sprintf(`{"role":"assistant","content":%q}`, text) }

// TestNextTurnUsesCachedPrefix guards against a tokenization in which the prompt of turn 2
// does not start with the cached blocks of turn 1, so that no block is reused.
func TestNextTurnUsesCachedPrefix(t *testing.T) {
	c := start(t, config())
	text, tokens, usage := c.chat("p1", body("", question))
	require.Equal(t, engine.DefaultTokens, tokens)
	// 13 prompt tokens: the role and 11 words of the question, and the role of the answer.
	require.Equal(t, engine.Usage{PromptTokens: 13, CompletionTokens: 16}, *usage)
	require.Equal(t, map[string]int{"p1": 1}, c.blocks()) // 29 tokens make one full block
	turn2 := body("", question, assistant(text), question)
	_, _, usage = c.chat("p1", turn2)
	require.Equal(t, 16, usage.CachedTokens)
	_, _, usage = c.chat("p2", turn2)
	require.Zero(t, usage.CachedTokens, "programs must not share blocks")
}

// TestCutStreamContinues guards against an answer that differs from the uninterrupted one
// after it was resumed, or continued from its first part.
func TestCutStreamContinues(t *testing.T) {
	c := start(t, config())
	want, _, _ := c.chat("p", body("", question))
	c.send("/_faults", `{"cut_after_tokens":5,"cut_once":true}`, http.StatusNoContent)
	first, tokens, usage := c.chat("p", body(`,"request_id":"r"`, question))
	require.Nil(t, usage)
	require.Equal(t, 5, tokens)

	rest, _, usage := c.chat("p", body(`,"request_id":"r","resume_from":5`))
	require.Equal(t, want, first+rest)
	require.Equal(t, 16, usage.CompletionTokens)
	rest, _, _ = c.chat("p", body("", question, assistant(first)))
	require.Equal(t, want, first+rest)

	other := c.do(t.Context(), http.MethodPost, "/v1/chat/completions", "q", body(`,"request_id":"r","resume_from":5`))
	require.Equal(t, http.StatusNotFound, other.StatusCode, "another program must not resume the request")
	beyond := c.do(t.Context(), http.MethodPost, "/v1/chat/completions", "p", body(`,"request_id":"r","resume_from":17`))
	require.Equal(t, http.StatusBadRequest, beyond.StatusCode)
}

// TestDisconnectCancels guards against a request that stays in the engine after its client
// has disconnected.
func TestDisconnectCancels(t *testing.T) {
	c := start(t, config())
	c.send("/_faults", `{"stall":true}`, http.StatusNoContent)
	ctx, cancel := context.WithCancel(t.Context())
	c.do(ctx, http.MethodPost, "/v1/chat/completions", "p", body("", question))
	require.Equal(t, 1, c.load().Waiting)
	cancel()
	require.Eventually(t, func() bool { return c.load().Waiting == 0 }, waitLimit, time.Millisecond)
}

// TestReleasedProgramHoldsNoMemory guards against a running request that stores its blocks
// after its program was released.
func TestReleasedProgramHoldsNoMemory(t *testing.T) {
	c := start(t, config())
	c.chat("p", body("", question))
	c.send("/_faults", `{"stall":true}`, http.StatusNoContent)
	response := c.do(t.Context(), http.MethodPost, "/v1/chat/completions", "p", body("", question))
	c.send("/v1/cache/release", `{"program":"p"}`, http.StatusOK)
	c.send("/_faults", `{}`, http.StatusNoContent)
	_, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Empty(t, c.blocks())

	c.chat("p", body(`,"cache_ttl":0.001`, question))
	require.Eventually(t, func() bool { return len(c.blocks()) == 0 }, waitLimit, time.Millisecond, "cache_ttl must end without a further request")
}

// TestOrdersAndRefusals guards against an engine that applies an order with an old fencing
// number, and against a refusal that does not state that it had no effect.
func TestOrdersAndRefusals(t *testing.T) {
	for _, check := range []bool{true, false} {
		cfg := config()
		cfg.CheckFence = check
		c := start(t, cfg)
		c.send("/v1/orders", `{"kind":"load","model":"m2","fence":7}`, http.StatusOK)
		old, models := http.StatusConflict, []string{"m2"}
		if !check {
			old, models = http.StatusOK, []string{}
		}
		c.send("/v1/orders", `{"kind":"unload","model":"m2","fence":6}`, old)
		require.Equal(t, models, c.load().Models)
	}
	c := start(t, config())
	c.send("/_faults", `{"leaving":true}`, http.StatusNoContent)
	response := c.do(t.Context(), http.MethodPost, "/v1/chat/completions", "p", body("", question))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.JSONEq(t, `{"error":"leaving","effect":"none"}`, string(text))
}
