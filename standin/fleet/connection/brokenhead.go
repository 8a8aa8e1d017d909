package connection

import (
	"fmt"
	"strings"
)

// BrokenHead is the head of a response that is not valid in HTTP.
type BrokenHead struct {
	Name       string
	StatusLine string // empty for that of a 200
	Line       string // of a field; may be empty
	Framed     bool   // the field frames the body
	Chunked    bool   // the body has the framing of chunks
	BodyOnly   bool   // the fault concerns the body only
}

// BrokenHeads lists the broken heads that every reader of responses has to refuse.
var BrokenHeads = []BrokenHead{
	{Name: "status 000", StatusLine: "HTTP/1.1 000 No"},
	{Name: "status 000 without a reason", StatusLine: "HTTP/1.1 000"},
	{Name: "status 099", StatusLine: "HTTP/1.1 099 No"},
	{Name: "status +20", StatusLine: "HTTP/1.1 +20 No"},
	{Name: "status -00", StatusLine: "HTTP/1.1 -00 No"},
	{Name: "status 600", StatusLine: "HTTP/1.1 600 No"},
	{Name: "status 999", StatusLine: "HTTP/1.1 999 No"},
	{Name: "status 1000", StatusLine: "HTTP/1.1 1000 No"},
	{Name: "status 101", StatusLine: "HTTP/1.1 101 Switching Protocols"},
	{Name: "upgrade", StatusLine: "HTTP/1.1 101 Switching Protocols", Line: "Connection: Upgrade\r\nUpgrade: other"},
	{Name: "no status", StatusLine: "HTTP/1.1 OK"},
	{Name: "another protocol", StatusLine: "HTTX/1.1 200 OK"},
	{Name: "another version", StatusLine: "HTTP/3.1 200 OK"},
	{Name: "version 0", StatusLine: "HTTP/0.9 200 OK"},
	{Name: "blank in a name", Line: "X Line: 1"},
	{Name: "blank after a name", Line: "X-Line : 1"},
	{Name: "blank after the name of the length", Line: "Content-Length : 2", Framed: true},
	{Name: "blank after the name of the framing", Line: "Transfer-Encoding : chunked", Framed: true, Chunked: true},
	{Name: "tab after the name of the length", Line: "Content-Length\t: 2", Framed: true},
	{Name: "00 in a name", Line: "X\x00Line: 1"},
	{Name: "01 in a name", Line: "X\x01Line: 1"},
	{Name: "7f in a name", Line: "X\x7fLine: 1"},
	{Name: "e9 in a name", Line: "X\xe9Line: 1"},
	{Name: "CR in a name", Line: "X\rLine: 1"},
	{Name: "empty name", Line: ": 1"},
	{Name: "no colon", Line: "X-Line"},
	{Name: "blank before the first name", Line: " X-Line: 1"},
	{Name: "00 in a value", Line: "X-Line: a\x00b"},
	{Name: "CR in a value", Line: "X-Line: a\rb"},
	{Name: "7f in a value", Line: "X-Line: a\x7fb"},
	{Name: "two lengths", Line: "Content-Length: 1\r\nContent-Length: 2", Framed: true},
	{Name: "signed length", Line: "Content-Length: +2", Framed: true},
	{Name: "chunks in HTTP/1.0", StatusLine: "HTTP/1.0 200 OK", Line: "Transfer-Encoding: chunked", Framed: true, Chunked: true, BodyOnly: true},
	{Name: "framing of another kind", Line: "Transfer-Encoding: gzip, chunked", Framed: true},
}

// Steps returns the response with this head: the status line, the broken line, further lines,
// each with its line end, and a body, after which the connection ends.
func (b BrokenHead) Steps(fields, body string) []Step {
	status, line := b.StatusLine, b.Line
	if status == "" {
		status = "HTTP/1.1 200 OK"
	}
	if line != "" {
		line += "\r\n"
	}
	if b.Chunked {
		body = Chunks(body)
	}
	return []Step{ReadBody, Send(status + "\r\n" + line + fields + "\r\n" + body), End}
}

// Chunks returns a body in the framing of chunks, with fields as the lines of its trailer.
func Chunks(body string, fields ...string) string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, strings.Join(fields, ""))
}
