package endpointhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent is the largest size of a server-sent event, in bytes.
const maxEvent = 1 << 20

var errEventTooLarge = errors.New("server-sent event exceeds 1 MiB")

// event is one server-sent event.
type event struct {
	name string
	data []byte
}

// eventReader parses a text/event-stream body whose lines end with LF or CRLF.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReaderSize(r, 4<<10)} }

// next returns the next event that has data. At the end of the stream it drops an event
// without its final empty line, as the format demands, and returns io.EOF.
func (e *eventReader) next() (event, error) {
	var ev event
	hasData, size := false, 0
	for {
		line, err := e.readLine(maxEvent - size)
		if err != nil {
			return event{}, err
		}
		size += len(line)
		if len(line) == 0 {
			if hasData {
				return ev, nil
			}
			ev = event{}
			size = 0
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "event":
			ev.name = string(value)
		case "data":
			if hasData {
				ev.data = append(ev.data, '\n')
			}
			ev.data = append(ev.data, value...)
			hasData = true
		}
	}
}

// readLine returns the next line without its line end. It refuses a line of more than
// limit bytes, including the line end.
func (e *eventReader) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := e.r.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, errEventTooLarge
		}
		line = append(line, part...)
		if err == nil {
			return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}
