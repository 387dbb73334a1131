package caller

import (
	"net/http"

	"github.com/siskinford/siskinford/fleet/config"
)

// ModelList is the response body of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one model that the team may use.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) models(w http.ResponseWriter, _ *http.Request, c requestInfo) {
	list := ModelList{Object: "list", Data: []Model{}}
	for _, s := range c.catalog.Services() {
		if s.Type == config.ServiceTypeModel && permitted(c.team, s.Name) {
			list.Data = append(list.Data, Model{ID: s.Model, Object: "model", OwnedBy: string(s.Name)})
		}
	}
	writeJSON(w, http.StatusOK, list)
}
