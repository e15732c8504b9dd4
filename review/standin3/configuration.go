package main

const (
	serviceName = "mostrador"
	// engineService is the service of the model engines, engineKey an API key of the tenant.
	engineService = "asistente"
	engineKey     = "xd9dnn2ctnfzs989anu6"
	hostName      = "ficu95.example"
	tenantName    = "huka270"
)

// configuration is one version of the operator's configuration.
type configuration struct {
	version   int
	timeoutMs int
	keys      []string
	// coldStartS is the time in seconds for which an endpoint is cold after its start, coldPerS the requests a second that it tolerates
	// meanwhile.
	coldStartS, coldPerS float64
}

func (c configuration) encode() []byte {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostName, "pathPrefix": "/" + name + "/", "type": kind, "timeoutMs": c.timeoutMs, "sloMs": 150,
			"priority": 1, "service": serviceName, "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false, "gapSloMs": 0,
		}
	}
	return encode(map[string]any{
		"version": c.version,
		"routes":  []any{route("reserva", "non_idempotent", 1), route("consulta", "idempotent", 2)},
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": c.coldStartS, "coldPerS": c.coldPerS,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "apiKeys": c.keys, "priority": 1}},
	})
}

// engineConfiguration returns a configuration with a route to the model engines.
func engineConfiguration() []byte {
	return encode(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "catalogo", "hostname": hostName, "pathPrefix": "/catalogo/", "type": "streaming", "timeoutMs": 39000, "sloMs": 1800,
			"priority": 1, "service": engineService, "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapSloMs": 180,
		}},
		"services": []any{engineServiceConfiguration()},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenantName, "apiKeys": []string{engineKey}, "priority": 1}},
	})
}

// engineServiceConfiguration returns the service of the model engines.
func engineServiceConfiguration() map[string]any {
	return map[string]any{
		"name": engineService, "healthPath": "/healthz", "maxConnections": 372, "protocol": "h1", "tls": false, "coldStartS": 1.0, "coldPerS": 37.0,
		"inferenceEngine": map[string]any{
			"slots": 48, "kvCapacity": 34489, "kvBytes": 327680, "linkMbps": 47000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
			"pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}
