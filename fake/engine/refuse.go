package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"azuredyke.dev/azuredyke/transport/engine"
)

// fenceOf reads the fencing number of a request; without the header it is 0.
func fenceOf(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	value := r.Header.Get(engine.HeaderFence)
	if value == "" {
		return 0, true
	}
	fence, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "the fencing number is not a number")
		return 0, false
	}
	return fence, true
}

// writeRefusal answers a request that did not start.
func writeRefusal(w http.ResponseWriter, why refusal) {
	switch why {
	case refusedLeaving:
		w.Header().Set(engine.HeaderRefused, engine.RefusedLeaving)
		writeError(w, http.StatusServiceUnavailable, "the engine is leaving")
	case refusedStaleFence:
		refuseStaleFence(w)
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

func refuseStaleFence(w http.ResponseWriter) {
	w.Header().Set(engine.HeaderRefused, engine.RefusedStaleFence)
	writeError(w, http.StatusConflict, "a newer fencing number was seen")
}

// writeError writes an error in the form of the OpenAI API.
func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"message": text}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
