package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrame is the largest size of a frame in bytes, without its length field.
	MaxFrame = 1 << 20
	// lengthSize is the size of the length field, in bytes.
	lengthSize = 4
	// frameOverhead is an upper bound of what the encoding adds to the payload, in
	// bytes. It only sizes the encoding buffer.
	frameOverhead = 40
)

var (
	errFrameTooLarge = errors.New("frame exceeds 1 MiB")
	errFrameTrailing = errors.New("frame has bytes after its message")
)

// streamID identifies a stream on one connection. The side that opens the stream
// draws a random token. Both sides compare it on every frame, so a late or
// misdirected frame cannot reach another stream.
type streamID struct {
	Number uint64
	Token  uint64
}

// frame is one message on a connection. It is encoded as a msgpack array.
type frame struct {
	Type    Type
	Stream  streamID
	Payload []byte
}

// encodeFrame returns the encoded frame, preceded by its length field.
func encodeFrame(f *frame) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(len(f.Payload) + frameOverhead)
	buf.Write(make([]byte, lengthSize))
	encoder := msgpack.NewEncoder(&buf)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(f); err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	data := buf.Bytes()
	if len(data)-lengthSize > MaxFrame {
		return nil, errFrameTooLarge
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-lengthSize))
	return data, nil
}

// readFrame reads one frame and returns its size in bytes, including the length
// field. A frame above MaxFrame is refused before memory is allocated for it.
func readFrame(r io.Reader) (*frame, int, error) { return readFrameWithin(r, MaxFrame) }

// readFrameWithin is readFrame with a lower limit, in bytes.
func readFrameWithin(r io.Reader, limit uint32) (*frame, int, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > limit {
		return nil, 0, errFrameTooLarge
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, 0, err
	}
	body := bytes.NewReader(data)
	f := &frame{}
	if err := msgpack.NewDecoder(body).Decode(f); err != nil {
		return nil, 0, fmt.Errorf("decode frame: %w", err)
	}
	if body.Len() > 0 {
		return nil, 0, errFrameTrailing
	}
	return f, lengthSize + int(n), nil
}
