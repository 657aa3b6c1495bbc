//go:build review2

package main

// Services and models of the configuration.
const (
	engines = "huvo11a"
	apps    = "wuno96b"
	model   = "daka510000"
	rare    = "rada7437b5"
	// quota is the tenant's rate in tokens a second, and its burst.
	quota = 66064
)

// route returns a route; more replaces or adds fields.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": 2000, "targetLatencyMs": 300,
		"priority": 2, "maxAttempts": 2, "public": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// config returns a configuration like that of the small deployments, with further routes.
func config(version int, more ...map[string]any) map[string]any {
	routes := []any{
		route("caption", "/lohu930/", "stream", engines, map[string]any{"timeoutMs": 12000, "priority": 0, "sticky": true, "resumable": true, "gapAimMs": 300}),
		route("booking", "/rapu33/", "non_idempotent", apps, map[string]any{"maxAttempts": 1}),
		route("status", "/cuti104/", "idempotent", apps, nil),
	}
	for _, r := range more {
		routes = append(routes, r)
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{
				"name": engines, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 15.0,
				"engine": map[string]any{
					"slots": 64, "kvCapTokens": 127918, "stride": 5, "weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 1.6,
					"models": []any{
						map[string]any{"name": model, "weightsMb": 65100.0, "loadS": 3.8, "adapters": 22, "adapterMb": 12.0, "warmS": 0.45, "diskS": 0.76},
						map[string]any{"name": rare, "weightsMb": 72700.0, "loadS": 4.2, "adapters": 0, "adapterMb": 66.0, "warmS": 0.47, "diskS": 0.84},
					},
				},
			},
			map[string]any{"name": apps, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1, "unit": "token_stream", "plainTokens": 200, "ratePerS": quota, "burst": quota}},
	}
}
