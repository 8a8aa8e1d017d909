package relay

import "sync"

const (
	// firstTokenSize is what a token counts for, in bytes, until a prompt was seen.
	firstTokenSize = 4
	// tokenSizeWeight is the weight of a new prompt in the mean size of a token.
	tokenSizeWeight = 0.05
	// minTokenSize and maxTokenSize bound the mean, since callers state the numbers of tokens.
	minTokenSize, maxTokenSize = 1, 16
)

// TokenSize is the mean size of the tokens of this VM's prompts, from what callers state. It lives as
// long as the process and is safe for concurrent use. The zero value is ready.
type TokenSize struct {
	mu   sync.Mutex
	mean float64 // bytes; 0 until a prompt was seen
}

// Observe notes a prompt.
func (s *TokenSize) Observe(bytes int, tokens int64) {
	if bytes <= 0 || tokens <= 0 {
		return
	}
	size := min(max(float64(bytes)/float64(tokens), minTokenSize), maxTokenSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == 0 {
		s.mean = size
	}
	s.mean += tokenSizeWeight * (size - s.mean)
}

// Bytes returns the size that a number of tokens lets expect.
func (s *TokenSize) Bytes(tokens int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == 0 {
		return firstTokenSize * tokens
	}
	return int64(s.mean * float64(tokens))
}
