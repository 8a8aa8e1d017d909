package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// newID returns the id of an attempt.
func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))
}

// request is one attempt of a consumer.
type request struct {
	method, path, key, id string
	header                []string
	body                  []byte
	deadline              time.Duration
}

// answer is what a consumer has seen of an attempt.
type answer struct {
	status    int
	signature string
	body      []byte
	// whole is set if the answer came to its end. bytes counts what came of it.
	whole bool
	bytes int64
	// retryAfter is when the consumer should come back; 0 if not stated.
	retryAfter time.Duration
	err        error
	took       time.Duration
}

func (a answer) String() string {
	switch {
	case a.whole:
		return fmt.Sprintf("%d, whole, %d bytes of body after %d ms", a.status, len(a.body), a.took.Milliseconds())
	case a.status != 0:
		return fmt.Sprintf("%d, cut after %d bytes of body, after %d ms: %v", a.status, len(a.body), a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("no answer, %d bytes, after %d ms: %v", a.bytes, a.took.Milliseconds(), a.err)
}

// channel is a connection of a consumer that is kept for many requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	bytes  int64
}

// Read counts what arrives.
func (c *channel) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	c.bytes += int64(n)
	return n, err
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &channel{conn: conn}
	c.reader = bufio.NewReader(c)
	return c, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// send sends a request and reads its answer.
func (c *channel) send(r request) answer {
	begun := time.Now()
	a := c.exchange(r)
	a.took = time.Since(begun)
	return a
}

func (c *channel) exchange(r request) answer {
	before := c.bytes
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nHornbeamvale-Attempt-Id: %s\r\nHornbeamvale-Deadline-Ms: %d\r\nHornbeamvale-Credential: %s\r\n",
		r.method, r.path, host, r.id, r.deadline.Milliseconds(), r.key)
	for _, h := range r.header {
		head += h + "\r\n"
	}
	if r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		return answer{err: err}
	}
	// A failed write may follow an answer that came early, so the answer is read in any case.
	_, _ = c.conn.Write(r.body)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err, bytes: c.bytes - before}
	}
	a := answer{status: resp.StatusCode, signature: resp.Header.Get("Hornbeamvale-Response-Signature")}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.body, a.err = io.ReadAll(resp.Body)
	a.whole, a.bytes = a.err == nil, c.bytes-before
	if got := resp.Header.Get("Hornbeamvale-Attempt-Id"); got != "" && got != r.id {
		a.err, a.whole = errors.New("the answer belongs to "+got), false
	}
	return a
}

// turn returns a turn of a program. parent is empty for the first one.
func turn(key, program, parent string, body []byte, tokens, budget int) request {
	r := request{method: http.MethodPost, path: chatPath, key: key, id: newID(), body: body, deadline: 3 * time.Second, header: []string{
		"Hornbeamvale-Model: m",
		fmt.Sprintf("Hornbeamvale-Token-Usage: %d,%d", tokens, 10*chunkTokens),
		fmt.Sprintf("Hornbeamvale-Prefix-Hash: 5c1e07a2:512,%s:%d", strings.ToLower(program), max(1, tokens-512)),
		"Hornbeamvale-Program-Id: " + program,
		"Hornbeamvale-Session-Id: s" + program,
		"Hornbeamvale-Program-Deadline-Ms: 60000",
		fmt.Sprintf("Hornbeamvale-Token-Budget: %d", budget),
	}}
	if parent != "" {
		r.header = append(r.header, "Hornbeamvale-Previous-Turn: "+parent)
	}
	return r
}

// tokensOf returns the number of tokens of a text, by the ratio of the users' sheets: 4,300
// bytes are 654 tokens.
func tokensOf(bytes int) int { return bytes * 654 / 4300 }

// text returns words of the given size.
func text(size int) []byte {
	const words = "conching slot for the cocoa lot of the member in annotto bay, "
	return []byte(strings.Repeat(words, size/len(words)+1)[:size])
}
