package callerhttp

import "hornbeamvale.example/hornbeamvale/internal/connection/call"

// completion is an object of the chat completions format: a whole answer, or one chunk
// of a stream.
type completion struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"` // seconds since 1970
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *usageBody `json:"usage,omitempty"`
	Turn    uint64     `json:"hornbeamvale_turn,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *messageBody `json:"message,omitempty"`
	Delta        *deltaBody   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type deltaBody struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usageBody struct {
	PromptTokens     int64        `json:"prompt_tokens"`
	CompletionTokens int64        `json:"completion_tokens"`
	TotalTokens      int64        `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func usageOf(u call.Usage) *usageBody {
	return &usageBody{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
		TotalTokens: u.PromptTokens + u.CompletionTokens,
		Details:     usageDetails{CachedTokens: u.CachedTokens},
	}
}

// newCompletion returns an object with one choice. An empty finish reason means that
// the answer continues.
func (r *responder) newCompletion(kind, reason string) *completion {
	c := &completion{ID: r.id, Object: kind, Created: r.created.Unix(), Model: r.call.Endpoint, Choices: make([]choice, 1)}
	if reason != "" {
		c.Choices[0].FinishReason = &reason
	}
	return c
}

// chunk returns a chunk with text. The first chunk of an answer also names the role.
func (r *responder) chunk(text string) *completion {
	c := r.newCompletion("chat.completion.chunk", "")
	c.Choices[0].Delta = &deltaBody{Content: text}
	if !r.started {
		c.Choices[0].Delta.Role = "assistant"
	}
	return c
}
