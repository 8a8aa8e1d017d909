package engine

import (
	"hash/fnv"
	"io"
	"strings"
)

var vocabulary = strings.Fields(`amber basin cedar delta ember fjord grove harbour island juniper
	kelp lagoon meadow north orchard pebble quarry river summit tundra umber valley willow yarrow`)

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt is a tokenized prompt. A token is a word; each message starts with
// its role as one token.
type Prompt struct {
	Tokens []string
	// AnswerPrefix is the number of answer tokens at the end of the prompt. It is not 0 if the
	// last message is from the assistant; the answer then continues that message.
	AnswerPrefix int
	// seed determines the answer. It does not depend on the continued part, so that a
	// continued answer equals an uninterrupted one.
	seed uint64
}

// NewPrompt tokenizes messages.
func NewPrompt(messages []Message) Prompt {
	var p Prompt
	question := 0
	for i, m := range messages {
		words := strings.Fields(m.Content)
		if i == len(messages)-1 && m.Role == "assistant" {
			p.AnswerPrefix = len(words)
		} else {
			question = len(p.Tokens) + 1 + len(words)
		}
		p.Tokens = append(append(p.Tokens, m.Role), words...)
	}
	if question == len(p.Tokens) {
		p.Tokens = append(p.Tokens, "assistant") // role of the answer, which is cached as the next message
	}
	h := chainHash(0, p.Tokens[:question])
	p.seed = h
	return p
}

// token returns token i of the answer to p. Each token after the first starts with a
// space, so that joined tokens are words separated by spaces.
func (p Prompt) token(i int) string {
	h := p.seed + uint64(i)*0x9e3779b97f4a7c15 // the odd multiplier spreads consecutive values
	h ^= h >> 29
	word := vocabulary[h%uint64(len(vocabulary))]
	if i == 0 {
		return word
	}
	return " " + word
}

// chainHash returns the hash of tokens that follow a prefix with the given hash.
func chainHash(before uint64, tokens []string) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(before >> (8 * i))
	}
	_, _ = h.Write(b[:]) // hash.Hash never returns an error
	for _, t := range tokens {
		_, _ = io.WriteString(h, t+"\x00")
	}
	return h.Sum64()
}

// blockHashes returns the chained hash of each full block of tokens.
func blockHashes(tokens []string) []uint64 {
	hashes := make([]uint64, 0, len(tokens)/BlockTokens)
	var before uint64
	for len(tokens) >= BlockTokens {
		before = chainHash(before, tokens[:BlockTokens])
		hashes = append(hashes, before)
		tokens = tokens[BlockTokens:]
	}
	return hashes
}
