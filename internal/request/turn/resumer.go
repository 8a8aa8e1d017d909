package turn

import (
	"strings"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
)

// resumer passes the text of an answer to the caller. If another attempt generates the
// answer again, it leaves out the text that the caller already has. An answer that
// differs from that text cannot be continued.
type resumer struct {
	next   call.Responder
	sent   strings.Builder // text that was passed to the caller
	offset int             // length of the current attempt's text, at most that of sent
	// broken is true once the caller has disconnected or the answer differs.
	broken bool
	err    error
}

// restart prepares for the answer of another attempt.
func (r *resumer) restart() { r.offset = 0 }

// Chunk implements call.Responder.
func (r *resumer) Chunk(c call.Chunk) error {
	if r.err != nil {
		return r.err
	}
	text := c.Text
	if have := r.sent.Len() - r.offset; have > 0 {
		n := min(have, len(text))
		if r.sent.String()[r.offset:r.offset+n] != text[:n] {
			return r.fail(errAnswerDiffers)
		}
		r.offset += n
		text = text[n:]
	}
	if text == "" {
		return nil
	}
	r.sent.WriteString(text)
	r.offset += len(text)
	if err := r.next.Chunk(call.Chunk{Text: text}); err != nil {
		return r.fail(err)
	}
	return nil
}

// End implements call.Responder.
func (r *resumer) End(a call.Answer) error {
	if r.err != nil {
		return r.err
	}
	if !strings.HasPrefix(a.Text, r.sent.String()) {
		return r.fail(errAnswerDiffers)
	}
	if err := r.next.End(a); err != nil {
		return r.fail(err)
	}
	return nil
}

// fail makes err the result of all further calls.
func (r *resumer) fail(err error) error {
	r.broken, r.err = true, err
	return err
}
