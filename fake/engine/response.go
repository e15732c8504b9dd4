package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"azuredyke.dev/azuredyke/transport/engine"
)

// parseFence returns the fencing token of a request, or 0 if the header is missing. For an invalid header, it answers
// 400 and returns false.
func parseFence(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	value := r.Header.Get(engine.HeaderFence)
	if value == "" {
		return 0, true
	}
	fence, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "the fencing token is not a number")
		return 0, false
	}
	return fence, true
}

// writeRefusal answers a request that was not started. It closes the connection if the engine is down.
func writeRefusal(w http.ResponseWriter, reason refusal) {
	switch reason {
	case refusedLeaving:
		w.Header().Set(engine.HeaderRefused, engine.RefusedLeaving)
		writeError(w, http.StatusServiceUnavailable, "the engine is leaving")
	case refusedStaleFence:
		writeStaleFence(w)
	case refusedModel:
		writeError(w, http.StatusNotFound, "the model is not loaded")
	case refusedTooLong:
		writeError(w, http.StatusBadRequest, "the prompt does not fit into memory")
	case refusedDuplicate:
		writeError(w, http.StatusConflict, "the request id is in use")
	default:
		panic(http.ErrAbortHandler)
	}
}

// writeStaleFence answers a request or an order that was refused because of its fencing token.
func writeStaleFence(w http.ResponseWriter) {
	w.Header().Set(engine.HeaderRefused, engine.RefusedStaleFence)
	writeError(w, http.StatusConflict, "the fencing token is older than the newest one received")
}

// writeError writes an error in the format of the OpenAI API.
func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"message": text}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
