package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"azuredyke.dev/azuredyke/common/verdict"
)

// retryElsewhereAfter is the Retry-After value for requests that another node or endpoint can serve at once.
const retryElsewhereAfter = time.Second

// errorBody is the error body of OpenAI's API, extended by the verdict.
type errorBody struct {
	Error errorFields `json:"error"`
}

// errorFields are the fields of an errorBody.
type errorFields struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Verdict string  `json:"verdict"`
}

// statuses maps reasons to HTTP statuses. Other reasons give 503 when the request did not run and 502 otherwise.
var statuses = map[verdict.Reason]int{
	verdict.ReasonInvalid:         http.StatusBadRequest,
	verdict.ReasonUnauthorized:    http.StatusUnauthorized,
	verdict.ReasonWrongMethod:     http.StatusMethodNotAllowed,
	verdict.ReasonUnknownPath:     http.StatusNotFound,
	verdict.ReasonUnknownModel:    http.StatusNotFound,
	verdict.ReasonUnknownService:  http.StatusNotFound,
	verdict.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	verdict.ReasonLimit:           http.StatusTooManyRequests,
	verdict.ReasonQuarantined:     http.StatusUnprocessableEntity,
	verdict.ReasonClaimConflict:   http.StatusUnprocessableEntity,
	verdict.ReasonClaimInProgress: http.StatusConflict,
	verdict.ReasonClaimExpired:    http.StatusUnprocessableEntity,
	verdict.ReasonKeyRequired:     http.StatusBadRequest,
}

func statusOf(err *verdict.Error) int {
	if status, ok := statuses[err.Reason]; ok {
		return status
	}
	if err.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func bodyOf(err *verdict.Error) errorBody {
	kind := "server_error"
	if statusOf(err) < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	body := errorBody{Error: errorFields{
		Message: err.Error(), Type: kind, Code: string(err.Reason), Verdict: err.Verdict.String(),
	}}
	if err.Field != "" {
		body.Error.Param = &err.Field
	}
	return body
}

// writeError writes an error response.
func writeError(w http.ResponseWriter, err *verdict.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(verdict.Header, err.Verdict.String())
	// OpenAI's client libraries retry by default. The header keeps them from repeating a request that may have run.
	h.Set("X-Should-Retry", strconv.FormatBool(err.Verdict == verdict.NotRun && err.RetryAfter > 0))
	if err.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	w.WriteHeader(statusOf(err))
	_ = json.NewEncoder(w).Encode(bodyOf(err))
}
