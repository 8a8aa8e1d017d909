package conntrack

import (
	"bytes"
	"errors"
)

// errFraming is the error of a read that finds a Transfer-Encoding in a response of HTTP/1.0.
// Its framing is faulty by RFC 9112, section 6.1, but net/http passes over the field and takes
// the chunks with their sizes for the body.
var errFraming = errors.New("a response of HTTP/1.0 has a Transfer-Encoding")

var (
	http10               = []byte("HTTP/1.0")
	transferEncodingName = []byte("transfer-encoding:")
)

// framingCheck looks for the framing in the head of a response that is received in parts. Only
// responses of HTTP/1.0 are looked at further than their version.
type framingCheck struct {
	done     bool
	isHTTP10 bool
	line     []byte // the begin of the line that is received
}

// next checks the next part of a response.
func (f *framingCheck) next(part []byte) error {
	if !f.isHTTP10 && len(f.line) == 0 && len(part) >= len(http10) && !bytes.HasPrefix(part, http10) {
		f.done = true
	}
	for !f.done && len(part) > 0 {
		line, rest, ended := bytes.Cut(part, []byte("\n"))
		f.line = append(f.line, line[:min(len(line), len(transferEncodingName)-len(f.line))]...)
		if !ended {
			return nil
		}
		begin := bytes.TrimRight(f.line, "\r")
		switch {
		case !f.isHTTP10:
			f.isHTTP10 = bytes.HasPrefix(begin, http10)
			f.done = !f.isHTTP10
		case len(begin) == 0:
			f.done = true
		case bytes.EqualFold(begin, transferEncodingName):
			return errFraming
		}
		f.line, part = f.line[:0], rest
	}
	return nil
}
