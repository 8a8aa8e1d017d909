// Package answer provides the HTTP encoding shared by the stand-ins' handlers.
package answer

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Effect tells whether a refused request had an effect.
type Effect string

// NoEffect guarantees that the request had no effect.
const NoEffect Effect = "none"

// Failure is the body of an error response.
type Failure struct {
	Error  string `json:"error"`
	Effect Effect `json:"effect"`
}

// JSON writes v as JSON with the given status.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}

// Refuse writes an error response for a request without an effect.
func Refuse(w http.ResponseWriter, status int, message string) {
	JSON(w, status, Failure{Error: message, Effect: NoEffect})
}

// Decode decodes the JSON body into v. On an error it responds with 400 and returns false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	return decode(w, r, json.NewDecoder(r.Body), v)
}

// DecodeStrict is like Decode but rejects unknown fields, so that a misspelt fault is not
// silently ignored.
func DecodeStrict(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	return decode(w, r, d, v)
}

func decode(w http.ResponseWriter, r *http.Request, d *json.Decoder, v any) bool {
	err := d.Decode(v)
	if err == nil {
		// net/http detects a disconnected client only after the body was read to its end.
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err != nil {
		Refuse(w, http.StatusBadRequest, "body: "+err.Error())
	}
	return err == nil
}

// CloseConnection closes the connection without completing the response. It does not return.
func CloseConnection() { panic(http.ErrAbortHandler) }

// Pause waits for d or until the client disconnects.
func Pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
