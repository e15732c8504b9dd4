package gateway

import (
	"encoding/json"
	"net/http"

	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/config"
)

// modelList is the model list of OpenAI's API.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry describes one model in a modelList.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that at least one service offers.
func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request, _ []byte, _ string) *verdict.Error {
	snapshot := s.Config.Load()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, o := range snapshot.List(config.KindModel) {
		if _, ok := snapshot.ServiceOfModel(o.Name); ok {
			list.Data = append(list.Data, modelEntry{ID: o.Name, Object: "model", OwnedBy: "azuredyke"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
	return nil
}
