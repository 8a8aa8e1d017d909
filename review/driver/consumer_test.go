package driver

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one consumer attempt.
type call struct {
	method, host, path, key string
	deadline                time.Duration
	body                    []byte
	stream                  bool
	// For requests of programs.
	program, session, previous string
	programLeft                time.Duration
	budget, promptTokens       int
	maxTokens                  int
}

// result is how a consumer attempt ended.
type result struct {
	id           string
	machine      *machine
	sent, ended  time.Time
	status       int // 0 without the head of an answer
	whole        bool
	retryAfter   time.Duration
	hasRetry     bool
	signed       bool
	body         string
	events       int
	err          error
	notConnected bool
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newChannel returns a client that keeps one channel to a machine.
func newChannel() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: 12 * time.Second,
	}}
}

// send sends one attempt to a machine on a channel.
func send(ctx context.Context, channel *http.Client, m *machine, c call) (r result) {
	r = result{id: newID(), machine: m, sent: time.Now()}
	defer func() { r.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+m.frontend+c.path, bytes.NewReader(c.body))
	if err != nil {
		r.err = err
		return r
	}
	q.Host = c.host
	q.GetBody = nil // the transport must not repeat a request by itself
	set := func(name, value string) {
		if value != "" {
			q.Header.Set("Hornbeamvale-"+name, value)
		}
	}
	set("Attempt-Id", r.id)
	set("Credential", c.key)
	set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.program != "" {
		set("Program-Id", c.program)
		set("Session-Id", c.session)
		set("Program-Deadline-Ms", strconv.FormatInt(max(1, c.programLeft.Milliseconds()), 10))
	}
	if c.stream {
		set("Model", "m")
		set("Token-Budget", strconv.Itoa(c.budget))
		set("Token-Usage", strconv.Itoa(c.promptTokens)+","+strconv.Itoa(c.maxTokens))
		set("Prefix-Hash", "5c1e07a2:512,"+c.session+":"+strconv.Itoa(max(1, c.promptTokens-512)))
		set("Previous-Turn", c.previous)
	}
	a, err := channel.Do(q)
	if err != nil {
		r.err, r.notConnected = err, strings.Contains(err.Error(), "refused")
		return r
	}
	defer func() { _ = a.Body.Close() }()
	r.status = a.StatusCode
	r.signed = a.Header.Get("Hornbeamvale-Response-Signature") != ""
	if s, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter, r.hasRetry = time.Duration(s*float64(time.Second)), true
	}
	var text strings.Builder
	reader := bufio.NewReader(a.Body)
	for {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		if strings.HasPrefix(line, "data:") {
			r.events++
		}
		if err == io.EOF {
			r.whole = true
			break
		}
		if err != nil {
			r.err = err
			break
		}
	}
	r.body = text.String()
	return r
}

// ok reports whether the attempt was answered with a whole success.
func (r result) ok() bool { return r.status/100 == 2 && r.whole && r.signed }

// promise reports whether the answer promises that the request has not run.
func (r result) promise() bool {
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return r.notConnected
}
