// Package httphead checks the heads of responses that net/http has parsed. The parser of
// net/http accepts some that are not valid in HTTP.
package httphead

import (
	"fmt"
	"net/http"
	"strings"
)

// Check returns an error if the head of a final response is not valid. The response is then no
// answer: its body may be framed in another way than net/http reads it, and its connection must
// not be used again.
func Check(resp *http.Response) error {
	// Over TLS, net/http speaks HTTP/2 where the server does.
	if resp.ProtoMajor != 1 && (resp.ProtoMajor != 2 || resp.TLS == nil) {
		return fmt.Errorf("%.16q is not a version of HTTP/1", resp.Proto)
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	for name := range resp.Header {
		if err := CheckName(name); err != nil {
			return err
		}
	}
	return nil
}

// CheckStatus returns an error unless a status is that of a final response. net/http accepts
// any three characters that are a number, and treats 101 as final although no request asks for
// another protocol.
func CheckStatus(status int) error {
	if status < 200 || status > 599 {
		return fmt.Errorf("status %d is outside 200 to 599", status)
	}
	return nil
}

// CheckName returns an error if the name of a field has a blank. net/http refuses all other
// bytes that a name must not have, but keeps one with a blank as it is. "Content-Length " or
// "Transfer-Encoding " then does not frame the body, although the sender meant it to.
func CheckName(name string) error {
	if strings.Contains(name, " ") {
		return fmt.Errorf("the field name %.64q has a blank", name)
	}
	return nil
}
