package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// groupKey is what a request asks for. An empty version accepts any version.
	groupKey struct {
		service string
		model   string
		version string
		adapter string
	}

	// serverGroup holds the servers that can serve the requests of a groupKey.
	serverGroup struct {
		all    []*server
		subset []*server // The servers that this router uses first.
	}
)

// rebuildGroups rebuilds the groups after a change of the set of servers.
func (p *Picker) rebuildGroups() {
	p.groups = make(map[groupKey]*serverGroup)
	for _, s := range p.serversByIndex {
		if s == nil {
			continue
		}
		if len(s.config.Holds) == 0 {
			p.addToGroup(groupKey{service: s.config.Service}, s)
		}
		for _, loaded := range s.config.Holds {
			p.addLoaded(loaded, s)
		}
	}
	for _, group := range p.groups {
		group.subset = p.selectSubset(group.all)
	}
}

// addLoaded adds the server to the groups of one loaded model, with and without version and adapter.
func (p *Picker) addLoaded(loaded LoadedModel, s *server) {
	for _, version := range versionKeys(loaded.Version) {
		p.addToGroup(groupKey{s.config.Service, loaded.Model, version, ""}, s)
		for _, adapter := range loaded.Adapters {
			p.addToGroup(groupKey{s.config.Service, loaded.Model, version, adapter}, s)
		}
	}
}

// addToGroup adds the server to the group with the key.
func (p *Picker) addToGroup(key groupKey, s *server) {
	group := p.groups[key]
	if group == nil {
		group = &serverGroup{}
		p.groups[key] = group
	}
	// Servers are added one after another, so only the last entry can be the same server.
	if len(group.all) == 0 || group.all[len(group.all)-1] != s {
		group.all = append(group.all, s)
	}
}

// selectSubset returns the servers with the highest rendezvous hashes of router and server names. When a server is
// added or removed, only its own position in the subset changes.
func (p *Picker) selectSubset(all []*server) []*server {
	size := p.Subset
	// A subset of a small group would save little and load its servers unevenly.
	if len(all) <= 2*size {
		return all
	}
	type ranked struct {
		hash   uint64
		server *server
	}
	var ranks []ranked
	for _, s := range all {
		if s.config.Leaving || s.leaving || s.config.Evacuated {
			continue
		}
		ranks = append(ranks, ranked{xxhash.Sum64String(p.Router + "\x00" + s.config.Name), s})
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		if a.hash > b.hash {
			return -1
		}
		return 1
	})
	result := make([]*server, 0, size)
	for _, r := range ranks[:min(size, len(ranks))] {
		result = append(result, r.server)
	}
	return result
}

// versionKeys returns the versions under which a loaded version is found: the empty one, which accepts any, and itself.
func versionKeys(version string) []string {
	if version == "" {
		return []string{""}
	}
	return []string{"", version}
}
