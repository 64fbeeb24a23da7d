package router

import (
	"reflect"
	"sync"

	"citronslip/internal/routing"
)

type (
	// reportedModels holds the models that backend servers report, by server name. The zero value is ready for use.
	reportedModels struct {
		mu       sync.Mutex
		byServer map[string][]routing.LoadedModel
	}
)

// put stores the models that a server reports and reports whether they differ from its last report.
func (r *reportedModels) put(server string, models []routing.LoadedModel) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.byServer[server]
	if known && reflect.DeepEqual(before, models) {
		return false
	}
	if r.byServer == nil {
		r.byServer = make(map[string][]routing.LoadedModel)
	}
	r.byServer[server] = models
	return true
}

// get returns the models of a server's last report. The second result is false if it has not reported yet.
func (r *reportedModels) get(server string) ([]routing.LoadedModel, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	models, ok := r.byServer[server]
	return models, ok
}
