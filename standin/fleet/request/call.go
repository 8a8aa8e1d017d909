// Package request sends requests to a fleet as its callers do, and requests of tests to
// the stand-ins.
package request

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Call holds the key, ids and connection options of a caller's request.
type Call struct {
	Key     string // the caller's key
	Program string // "" for a call outside a program
	Parent  string // the run that started this sub-agent; "" for none
	Turn    int    // 0 to send no turn number
	ID      string // Idempotency-Key; "" for none
	// Client is used to reuse connections between calls; nil opens a connection for
	// each call.
	Client *http.Client
}

// Refused is a refusal of the fleet with its code.
type Refused struct{ Code, Message, Run string }

// Error implements error.
func (e *Refused) Error() string { return e.Code + " (" + e.Run + "): " + e.Message }

// ErrIncomplete reports a response that is incomplete or did not arrive.
var ErrIncomplete = errors.New("response is incomplete")

func (c Call) header() http.Header {
	h := http.Header{}
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set("Authorization", "Bearer "+c.Key)
	set("Hornbeamvale-Program", c.Program)
	set("Hornbeamvale-Parent", c.Parent)
	set("Idempotency-Key", c.ID)
	if c.Turn > 0 {
		h.Set("Hornbeamvale-Turn", strconv.Itoa(c.Turn))
	}
	return h
}

// Chat sends a streaming chat completion request and returns the text of the response.
// maxTokens of 0 sends no limit. progress, if not nil, is called with each piece of text.
func Chat(ctx context.Context, address string, c Call, endpoint, text string, maxTokens int, progress func(string)) (string, error) {
	fields := map[string]any{
		"model": endpoint, "stream": true, "messages": []map[string]string{{"role": "user", "content": text}},
	}
	if maxTokens > 0 {
		fields["max_tokens"] = maxTokens
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return "", err
	}
	response, err := send(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", string(body), c.header(), c.Client)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	return streamText(response.Body, progress)
}

// streamText returns the text of a stream. The stream is incomplete unless it ends with
// [DONE].
func streamText(stream io.Reader, progress func(string)) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(stream)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
			Error   *Refused
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return "", err
		}
		if event.Error != nil {
			return "", event.Error
		}
		for _, c := range event.Choices {
			text.WriteString(c.Delta.Content)
			if progress != nil {
				progress(c.Delta.Content)
			}
		}
	}
	return "", fmt.Errorf("%w after %q: %v", ErrIncomplete, text.String(), lines.Err())
}

// Service calls a plain service and returns the body of the response.
func Service(ctx context.Context, address string, c Call, endpoint, method, path string) (string, error) {
	return readBody(send(ctx, method, "http://"+address+"/v1/endpoints/"+endpoint+path, "", c.header(), c.Client))
}

// EndProgram ends a program.
func EndProgram(ctx context.Context, address string, c Call) error {
	_, err := Do(ctx, http.MethodDelete, "http://"+address+"/v1/programs/"+c.Program, "", Call{Key: c.Key}.header())
	return err
}

// Settle reports the outcome of the call c.ID, which was left unknown.
func Settle(ctx context.Context, address string, c Call, outcome string) error {
	body, err := json.Marshal(map[string]string{"request_id": c.ID, "outcome": outcome})
	if err != nil {
		return err
	}
	_, err = Do(ctx, http.MethodPost, "http://"+address+"/v1/programs/"+c.Program+"/settle", string(body), Call{Key: c.Key}.header())
	return err
}

// Do sends a request on a new connection and returns the body of a successful response.
func Do(ctx context.Context, method, url, body string, header http.Header) (string, error) {
	return readBody(send(ctx, method, url, body, header, nil))
}

// readBody reads the body of a response to its end.
func readBody(response *http.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return string(data), nil
}

// send sends a request. The error is *Refused for a refusal of the fleet and
// ErrIncomplete for a failed connection.
func send(ctx context.Context, method, url, body string, header http.Header, client *http.Client) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		request.Header = header
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	if client == nil {
		client = singleUse
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	var refused struct{ Error Refused }
	if json.Unmarshal(data, &refused) == nil && refused.Error.Code != "" {
		return nil, &refused.Error
	}
	return nil, fmt.Errorf("status %d: %s", response.StatusCode, data)
}

// singleUse opens a connection for each request. On a reused connection that breaks,
// net/http would retry a request with an idempotency key and hide the failure.
var singleUse = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
