package callerhttp

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// response is the HTTP form of a refusal code. retryAfter is the default wait of a
// refusal that states none; zero means that waiting does not help.
type response struct {
	status     int
	retryAfter time.Duration
}

var responses = map[refusal.Code]response{
	refusal.BadRequest:             {http.StatusBadRequest, 0},
	refusal.Unauthenticated:        {http.StatusUnauthorized, 0},
	refusal.Forbidden:              {http.StatusForbidden, 0},
	refusal.EndpointUnknown:        {http.StatusNotFound, 0},
	refusal.StaleConfiguration:     {http.StatusServiceUnavailable, time.Second},
	refusal.RateLimited:            {http.StatusTooManyRequests, time.Second},
	refusal.BudgetExhausted:        {http.StatusForbidden, 0},
	refusal.TurnEarly:              {http.StatusConflict, time.Second},
	refusal.TurnConflict:           {http.StatusConflict, 0},
	refusal.ProgramEnded:           {http.StatusGone, 0},
	refusal.OutcomeUnknown:         {http.StatusConflict, 0},
	refusal.IdempotencyKeyRequired: {http.StatusBadRequest, 0},
	refusal.OwnerUnavailable:       {http.StatusServiceUnavailable, time.Second},
	refusal.StoreUnavailable:       {http.StatusServiceUnavailable, 5 * time.Second},
	refusal.NoReplica:              {http.StatusServiceUnavailable, time.Second},
	refusal.EndpointFailed:         {http.StatusBadGateway, 0},
	refusal.Overloaded:             {http.StatusServiceUnavailable, time.Second},
	refusal.Stopping:               {http.StatusServiceUnavailable, time.Second},
	refusal.Internal:               {http.StatusInternalServerError, 0},
	refusal.RouteUnknown:           {http.StatusNotFound, 0},
	refusal.TurnUnknown:            {http.StatusNotFound, 0},
	refusal.NoConfiguration:        {http.StatusServiceUnavailable, time.Second},
	refusal.TimeLimit:              {http.StatusGatewayTimeout, 0},
	refusal.Quarantined:            {http.StatusServiceUnavailable, time.Minute},
	refusal.TooLarge:               {http.StatusRequestEntityTooLarge, 0},
	refusal.HeadTooLarge:           {http.StatusRequestHeaderFieldsTooLarge, 0},
	refusal.SlowRequest:            {http.StatusRequestTimeout, 0},
}

// statusOf returns the HTTP status and the value of Retry-After, which is empty if there
// is none. The default wait is used only if the request has certainly not run, so that a
// repeat cannot run it twice.
func statusOf(ref *refusal.Refusal) (int, string) {
	resp, ok := responses[ref.Code]
	if !ok {
		resp.status = http.StatusInternalServerError
	}
	wait := ref.RetryAfter
	if wait == 0 && ref.Run == refusal.NotRun {
		wait = resp.retryAfter
	}
	if wait <= 0 {
		return resp.status, ""
	}
	return resp.status, strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

// errorObject is the JSON form of a refusal.
type errorObject struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code    refusal.Code     `json:"code"`
	Message string           `json:"message"`
	Run     refusal.RunState `json:"run"`
}

func errorOf(ref *refusal.Refusal) errorObject {
	return errorObject{errorFields{Code: ref.Code, Message: ref.Message, Run: ref.Run}}
}
