package peer

import (
	"context"
	"errors"
	"fmt"
)

// pieceSize is the size of one piece of a large message, in bytes. It is far below
// MaxFrame, so that a large message hardly delays the other streams of the
// connection.
const pieceSize = 64 << 10

var errSizeMismatch = errors.New("message does not match its announced size")

// largeHeader is the payload that precedes the pieces of a large message.
type largeHeader struct {
	Size int64 `msgpack:"n"` // bytes
}

// SendLarge sends a message of any size. It sends a header with the size and then
// the payload in pieces, all with the type of the message.
func SendLarge(ctx context.Context, s *Stream, m Message) error {
	header, err := Encode(largeHeader{int64(len(m.Payload))})
	if err != nil {
		return err
	}
	if err := s.Send(ctx, Message{Type: m.Type, Payload: header}); err != nil {
		return err
	}
	for rest := m.Payload; len(rest) > 0; {
		piece := rest[:min(pieceSize, len(rest))]
		if err := s.Send(ctx, Message{Type: m.Type, Payload: piece}); err != nil {
			return err
		}
		rest = rest[len(piece):]
	}
	return nil
}

// ErrNoRoom means that there is no memory for a large message.
var ErrNoRoom = errors.New("no memory is left for a large message")

// RecvLarge receives a message that SendLarge has sent and refuses one of more than limit
// bytes. take takes the memory for a message of the announced size, in bytes, or returns
// false; then the error is ErrNoRoom. If take is nil, memory is allocated as pieces arrive.
func RecvLarge(ctx context.Context, s *Stream, limit int64, take func(bytes int64) bool) (Message, error) {
	first, err := s.Recv(ctx)
	if err != nil {
		return Message{}, err
	}
	var header largeHeader
	if err := Decode(first.Payload, &header); err != nil {
		return Message{}, err
	}
	if header.Size < 0 || header.Size > limit {
		return Message{}, fmt.Errorf("message of %d bytes exceeds %d bytes", header.Size, limit)
	}
	m := Message{Type: first.Type}
	if take != nil {
		if !take(header.Size) {
			return Message{}, ErrNoRoom
		}
		m.Payload = make([]byte, 0, header.Size)
	}
	for int64(len(m.Payload)) < header.Size {
		piece, err := s.Recv(ctx)
		if err != nil {
			return Message{}, err
		}
		if piece.Type != m.Type || len(piece.Payload) == 0 || int64(len(m.Payload)+len(piece.Payload)) > header.Size {
			return Message{}, errSizeMismatch
		}
		m.Payload = append(m.Payload, piece.Payload...)
	}
	return m, nil
}
