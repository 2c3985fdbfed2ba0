package main

type route struct {
	name, prefix, kind, service string
	timeoutMs                   int
}

// configuration returns a version of the configuration with routes of one host.
func configuration(version int, host string, routes ...route) map[string]any {
	services := map[string]bool{}
	var paths, list []any
	for _, r := range routes {
		services[r.service] = true
		paths = append(paths, map[string]any{
			"name": r.name, "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMs, "target_latency_ms": 600,
			"priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	for service := range services {
		list = append(list, map[string]any{"name": service, "health_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"hosts":  []any{map[string]any{"host": host, "paths": paths}},
	}
}
