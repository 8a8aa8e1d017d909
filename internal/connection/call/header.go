package call

import "strings"

// unforwardedHeaders lists the hop-by-hop headers of RFC 9110 section 7.6.1, the
// headers that carry credentials, and those that the sender of a message computes.
var unforwardedHeaders = map[string]bool{
	"authorization": true, "cookie": true, "proxy-authorization": true,
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-connection": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"host": true, "content-length": true, "expect": true,
}

// Forwardable reports whether a header may be passed on between a caller and an
// endpoint. connection holds the values of the message's Connection header, which
// names further hop-by-hop headers.
func Forwardable(name string, connection []string) bool {
	lower := strings.ToLower(name)
	if unforwardedHeaders[lower] || strings.HasPrefix(lower, "hornbeamvale-") {
		return false
	}
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return false
			}
		}
	}
	return true
}
