package callerhttp

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Largest lengths in bytes. They are bounded because a run's name is part of a row key
// of the platform's table service and of every frame about the run.
const (
	maxName      = 128
	maxRun       = 512
	maxRequestID = 256
)

const (
	headerProgram   = "Hornbeamvale-Program"
	headerParent    = "Hornbeamvale-Parent"
	headerTurn      = "Hornbeamvale-Turn"
	headerRequestID = "Idempotency-Key"
	headerKey       = "Authorization"
)

// checkText accepts 1 to limit bytes of UTF-8 without control characters.
func checkText(what, s string, limit int) *refusal.Refusal {
	switch {
	case s == "" || len(s) > limit:
		return refusal.New(refusal.BadRequest, "%s must have 1 to %d bytes", what, limit)
	case !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl):
		return refusal.New(refusal.BadRequest, "%s must be UTF-8 without control characters", what)
	}
	return nil
}

// checkName accepts the name of an endpoint or one segment of a run's name: text
// without "/".
func checkName(what, s string) *refusal.Refusal {
	if ref := checkText(what, s, maxName); ref != nil {
		return ref
	}
	if strings.Contains(s, "/") {
		return refusal.New(refusal.BadRequest, "%s must not contain /", what)
	}
	return nil
}

// checkRun accepts the name of a run: segments that are joined by "/".
func checkRun(what, run string) *refusal.Refusal {
	if len(run) > maxRun {
		return refusal.New(refusal.BadRequest, "%s must have at most %d bytes", what, maxRun)
	}
	for name := range strings.SplitSeq(run, "/") {
		if ref := checkName(what, name); ref != nil {
			return ref
		}
	}
	return nil
}

// singleHeader returns the value of a header that may be given at most once, and
// whether it is given.
func singleHeader(h http.Header, name string) (string, bool, *refusal.Refusal) {
	values := h.Values(name)
	if len(values) > 1 {
		return "", false, refusal.New(refusal.BadRequest, "header %s is given more than once", name)
	}
	if len(values) == 0 {
		return "", false, nil
	}
	return values[0], true, nil
}

// runFromHeaders returns the name of the run, which is the parent's run, if given, and
// the program's name joined by "/". It is empty for a call outside programs.
func runFromHeaders(h http.Header) (string, *refusal.Refusal) {
	program, hasProgram, ref := singleHeader(h, headerProgram)
	if ref != nil {
		return "", ref
	}
	parent, hasParent, ref := singleHeader(h, headerParent)
	if ref != nil {
		return "", ref
	}
	if !hasProgram {
		if hasParent {
			return "", refusal.New(refusal.BadRequest, "header %s needs %s", headerParent, headerProgram)
		}
		return "", nil
	}
	if ref := checkName(headerProgram, program); ref != nil {
		return "", ref
	}
	if !hasParent {
		return program, nil
	}
	run := parent + "/" + program
	return run, checkRun(headerParent, run)
}

// turnFromHeaders returns the turn number; 0 if none is given.
func turnFromHeaders(h http.Header, run string) (uint64, *refusal.Refusal) {
	value, ok, ref := singleHeader(h, headerTurn)
	if ref != nil || !ok {
		return 0, ref
	}
	turn, err := strconv.ParseUint(value, 10, 64)
	if err != nil || turn == 0 || run == "" {
		return 0, refusal.New(refusal.BadRequest, "header %s must be a number from 1 and needs %s", headerTurn, headerProgram)
	}
	return turn, nil
}

// callerKey returns the caller's key, which is the bearer token of the Authorization
// header; empty if none is given.
func callerKey(r *http.Request) (string, *refusal.Refusal) {
	value, ok, ref := singleHeader(r.Header, headerKey)
	if ref != nil || !ok {
		return "", ref
	}
	scheme, key, _ := strings.Cut(value, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", nil
	}
	return strings.TrimSpace(key), nil
}

// checkKeyOnlyInAuthorization refuses a request that contains its key in the path, the
// query or another header than Authorization. These are passed on to the endpoint,
// while Authorization never is.
func checkKeyOnlyInAuthorization(r *http.Request, key string) *refusal.Refusal {
	if key == "" {
		return nil
	}
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil {
		return refusal.New(refusal.BadRequest, "the query is not escaped correctly")
	}
	for _, s := range []string{r.URL.RawQuery, query, r.URL.Path, r.URL.EscapedPath()} {
		if strings.Contains(s, key) {
			return refusal.New(refusal.BadRequest, "the path or query contains the caller's key")
		}
	}
	for name, values := range r.Header {
		if name == headerKey {
			continue
		}
		containsKey := func(s string) bool { return strings.Contains(s, key) }
		if containsKey(name) || slices.ContainsFunc(values, containsKey) {
			return refusal.New(refusal.BadRequest, "a header contains the caller's key")
		}
	}
	return nil
}
