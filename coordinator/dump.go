package coordinator

import (
	"encoding/json"
	"net/http"
)

// ServeState writes the state of the process as JSON.
func (c *Coordinator) ServeState(w http.ResponseWriter, _ *http.Request) {
	d, err := c.State()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A reader that has left has no use for the rest.
	_ = json.NewEncoder(w).Encode(d)
}
