package call

import (
	"errors"
	"io"
	"syscall"
)

// ConnectionBroken reports whether an error of a request that was sent, or of the body of
// its answer, says that the other side ended the connection. A time limit does not.
func ConnectionBroken(err error) bool {
	for _, ended := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, ended) {
			return true
		}
	}
	return false
}
