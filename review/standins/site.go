package main

import "time"

const (
	siteHost = "ficu95.example"
	// Prefixes of the routes.
	planPath = "/plan/"
	bookPath = "/book/"
	lookPath = "/look/"
)

// Tenant is a tenant of the configuration.
type Tenant struct {
	Name    string
	Key     string
	Prepaid int64
}

// writeConfig writes a version of the configuration and returns when the store acknowledged it.
func writeConfig(store *Store, version int, tenants []Tenant) time.Time {
	route := func(name, prefix, kind, service string, timeout, goal, attempts int, sticky, resumable bool) map[string]any {
		r := map[string]any{
			"name": name, "host": siteHost, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "latencyGoalMs": goal, "priority": 1,
			"service": service, "attempts": attempts, "public": false,
		}
		if sticky {
			r["sticky"], r["resumable"], r["targetGapMs"] = true, resumable, 300
		}
		return r
	}
	var list []map[string]any
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.Name, "apiKeys": []string{t.Key}, "prepaid": t.Prepaid})
	}
	at := store.Put("op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("season-plan", planPath, "streaming", "orto-model", 15000, 800, 2, true, true),
			route("visit-book", bookPath, "unsafe", "prenota", 800, 100, 1, false, false),
			route("visit-look", lookPath, "safe", "prenota", 800, 100, 2, false, false),
		},
		"services": []any{
			map[string]any{
				"name": "orto-model", "healthPath": "/health", "maxConnections": 610, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 128, "kvCapacityTokens": 477821, "kvTokenBytes": 35136, "linkMbps": 130000.0, "moves": true, "backups": true,
					"stride": tokensPerEvent, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "prenota", "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": list,
	})
	record("operator: configuration %d acknowledged", version)
	return at
}
