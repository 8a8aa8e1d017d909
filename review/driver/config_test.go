package driver

// Names in the configuration of the cases.
const (
	host         = "ficu95.example"
	turnPath     = "/pufi791/"
	statusPath   = "/pule252/"
	longPath     = "/gono990/"
	modelService = "huvo11a"
	plainService = "wuno96b"
	chunkTokens  = 14
	retentionS   = 60
)

// tenant is a tenant of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
	RatePerS float64  `json:"rate_per_s,omitempty"`
	Burst    float64  `json:"burst,omitempty"`
}

// putConfig writes the operator's first configuration.
func (c *world) putConfig(tenants []tenant) { c.putVersion(7, tenants) }

// putVersion writes a version of the configuration with further routes.
func (c *world) putVersion(version int, tenants []tenant, further ...map[string]any) {
	c.store.put("op", "config", map[string]any{
		"version": version,
		"routes": append([]map[string]any{
			{
				"name": "r-turns", "host": host, "path_prefix": turnPath, "type": "streaming", "timeout_ms": 3000,
				"target_latency_ms": 250, "priority": 0, "service": modelService, "max_attempts": 2, "keeps_history": true,
				"retention_s": retentionS, "public": false, "sticky": true, "resumable": false, "target_gap_ms": 150,
			},
			{
				"name": "r-status", "host": host, "path_prefix": statusPath, "type": "idempotent", "timeout_ms": 1500,
				"target_latency_ms": 250, "priority": 2, "service": plainService, "max_attempts": 2, "public": false,
			},
		}, further...),
		"services": []map[string]any{
			{
				"name": modelService, "health_path": "/healthz", "max_conns": 140, "protocol": "h1", "tls": false,
				"runtime": map[string]any{"slots": 8, "kv_capacity_tokens": 97383, "chunk_tokens": chunkTokens, "models": []map[string]any{{"name": "m"}}},
			},
			{"name": plainService, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	c.record.line("operator writes version %d with %d tenants", version, len(tenants))
}
