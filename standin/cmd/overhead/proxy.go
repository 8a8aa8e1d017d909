package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// platformProxy forwards requests to the platform stand-in and counts them. The
// daemons use it as their platform.
type platformProxy struct {
	platformAddress   string
	writes, reads     atomic.Int64 // requests to the table service
	puts, gets, lists atomic.Int64 // requests for objects and for the VM list
	bytesOut, bytesIn atomic.Int64 // sizes of bodies, as seen by the daemons
}

func newPlatformProxy(platformAddress string) *platformProxy {
	return &platformProxy{platformAddress: platformAddress}
}

// listen returns the address at which it serves until the process ends.
func (p *platformProxy) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, p) }() // runs until the process ends
	return l.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (p *platformProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the daemon has closed the connection
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.platformAddress+r.URL.RequestURI(), strings.NewReader(string(body)))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header = r.Header
	response, err := client.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	p.count(r, len(body), len(answer))
	for _, name := range []string{"Content-Type", "ETag"} {
		if v := response.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(answer) // fails if the daemon has closed the connection
}

func (p *platformProxy) count(r *http.Request, bytesOut, bytesIn int) {
	p.bytesOut.Add(int64(bytesOut))
	p.bytesIn.Add(int64(bytesIn))
	switch {
	case r.URL.Path == "/v1/tx":
		p.writes.Add(1)
	case r.URL.Path == "/v1/read":
		p.reads.Add(1)
	case r.URL.Path == "/v1/vms":
		p.lists.Add(1)
	case r.Method == http.MethodPut:
		p.puts.Add(1)
	case r.Method == http.MethodGet:
		p.gets.Add(1)
	}
}

// platformCounts holds the counts of a platformProxy at one time, or a difference of
// two such counts.
type platformCounts struct{ writes, reads, puts, gets, lists, bytesOut, bytesIn int64 }

func (p *platformProxy) snapshot() platformCounts {
	return platformCounts{
		p.writes.Load(), p.reads.Load(), p.puts.Load(), p.gets.Load(), p.lists.Load(), p.bytesOut.Load(), p.bytesIn.Load(),
	}
}

func (a platformCounts) minus(b platformCounts) platformCounts {
	return platformCounts{a.writes - b.writes, a.reads - b.reads, a.puts - b.puts, a.gets - b.gets, a.lists - b.lists, a.bytesOut - b.bytesOut, a.bytesIn - b.bytesIn}
}

func (a platformCounts) plus(b platformCounts) platformCounts {
	return a.minus(platformCounts{}.minus(b))
}
