package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"hornbeamvale.example/hornbeamvale/standin/fleet/process"
)

const (
	programName = "sweep"
	// turnsPerProgram bounds the history, which the engine computes again or reads from
	// its cache at each turn.
	turnsPerProgram = 8
	// failureDelay is the pause of a caller after a failed call.
	failureDelay = 50 * time.Millisecond
)

// loadGenerator sends programs to the engine, directly or through the VMs, and records
// what its callers observe.
type loadGenerator struct {
	options
	engine string        // address of the engine for a direct load, else empty
	vms    []*process.VM // of a load through the VMs, which are used in turn

	mu              sync.Mutex
	elapsed         time.Duration // length of all periods
	failedTurns     int
	lastError       error           // of the last failed turn
	firstTokenTimes []time.Duration // from the request to the first token
	tokenGaps       []time.Duration // between consecutive tokens
	endDelays       []time.Duration // from the last token to the end of the answer
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// client keeps enough idle connections for all callers at every address.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}

// warmUp repeats a call through every VM until each serves it, which shows that the
// configuration is in force there. The times of these calls are dropped.
func (l *loadGenerator) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for i := range l.vms {
		for {
			_, err := l.callTurn(ctx, i, fmt.Sprintf("%s:warm-%d-%d", programName, i, time.Now().UnixNano()), 1, nil)
			if err == nil {
				break
			}
			select {
			case <-time.After(failureDelay):
			case <-ctx.Done():
				return err
			}
		}
	}
	l.firstTokenTimes, l.tokenGaps, l.endDelays = nil, nil, nil
	return nil
}

// run lets all callers run programs for one period.
func (l *loadGenerator) run(ctx context.Context) {
	begin := time.Now()
	end := begin.Add(l.Period)
	var wg sync.WaitGroup
	for caller := range l.Callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				l.runProgram(ctx, caller, fmt.Sprintf("%s:%d-%d-%d", programName, begin.UnixNano(), caller, n), end)
			}
		})
	}
	wg.Wait()
	l.elapsed += time.Since(begin)
}

// runProgram runs the dependent turns of one program, each through the next VM. It
// stops at the end of the period or after a failed turn.
func (l *loadGenerator) runProgram(ctx context.Context, caller int, name string, end time.Time) {
	var history []message
	for turn := 1; turn <= turnsPerProgram && time.Now().Before(end); turn++ {
		answer, err := l.callTurn(ctx, caller+turn, name, turn, history)
		if err != nil {
			l.mu.Lock()
			l.failedTurns, l.lastError = l.failedTurns+1, err
			l.mu.Unlock()
			time.Sleep(failureDelay)
			return
		}
		history = append(history, question(turn), message{"assistant", answer})
	}
}

func question(turn int) message {
	return message{"user", fmt.Sprintf("question %d of the sweep over the accounts of the quarter", turn)}
}

// callTurn makes the call of one turn, through the VM of index via in a load through
// the VMs. The system under test keeps the history itself, so that only a direct call
// to the engine contains it.
func (l *loadGenerator) callTurn(ctx context.Context, via int, name string, turn int, history []message) (string, error) {
	messages, address := append(history, question(turn)), l.engine
	if l.engine == "" {
		messages, address = messages[len(messages)-1:], l.vms[via%len(l.vms)].Caller
	}
	body, err := json.Marshal(map[string]any{"model": endpoint, "stream": true, "max_tokens": l.Tokens, "messages": messages})
	if err != nil {
		return "", err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Hornbeamvale-Program", name)
	if l.engine == "" {
		request.Header.Set("Authorization", "Bearer "+callerKey)
		request.Header.Set("Hornbeamvale-Turn", fmt.Sprint(turn))
	}
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return "", fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return l.readStream(response.Body, sent)
}

// readStream records the times of the tokens of a streamed answer and returns its
// text.
func (l *loadGenerator) readStream(stream io.Reader, sent time.Time) (string, error) {
	var text strings.Builder
	var first time.Duration
	var gaps []time.Duration
	last := sent
	lines := bufio.NewScanner(stream)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		if data == "[DONE]" {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.firstTokenTimes, l.tokenGaps, l.endDelays = append(l.firstTokenTimes, first), append(l.tokenGaps, gaps...), append(l.endDelays, now.Sub(last))
			return text.String(), nil
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", err
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		if text.Len() == 0 {
			first = now.Sub(sent)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return "", fmt.Errorf("stream ended without [DONE] after %q: %w", text.String(), lines.Err())
}
