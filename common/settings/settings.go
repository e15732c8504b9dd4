// Package settings reads the YAML settings of a node. Decoding is strict, and each error names the line and the key.
package settings

import "time"

// Settings configures one node. Durations are written like "1.5s".
type Settings struct {
	Node     Node     `yaml:"node"`
	Listen   Listen   `yaml:"listen"`
	TLS      TLS      `yaml:"tls"`
	Platform Platform `yaml:"platform"`
	// Operators lists the tokens of the operator API.
	Operators []OperatorToken `yaml:"operators"`
	// PeerKeyFile holds the shared secret of the links between nodes.
	PeerKeyFile string   `yaml:"peer_key_file"`
	Limits      Limits   `yaml:"limits"`
	Dispatch    Dispatch `yaml:"dispatch"`
	Claims      Claims   `yaml:"claims"`
	Stop        Stop     `yaml:"stop"`
	Log         Log      `yaml:"log"`
}

// Default returns the values of the keys that a file omits.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Callers:   "127.0.0.1:8080",
			Operators: "127.0.0.1:8081",
			Metrics:   "127.0.0.1:8082",
			Peers:     "127.0.0.1:8083",
		},
		Platform: Platform{
			KeyValue: KeyValue{Kind: KeyValueEtcd, Timeout: 2 * time.Second},
			HostList: HostList{Kind: HostListHTTP, Interval: time.Second},
		},
		Limits: Limits{
			BodyBytes:     4 << 20,
			HeaderTimeout: 10 * time.Second,
			BodyTimeout:   30 * time.Second,
			OpenRequests:  10_000,
		},
		Dispatch: Dispatch{
			Policy:           PolicyAzuredyke,
			StartWithin:      time.Second,
			LeaseTTL:         6 * time.Second,
			RenewInterval:    2 * time.Second,
			LoadInterval:     200 * time.Millisecond,
			LoadTimeout:      time.Second,
			SuspectAfter:     5 * time.Second,
			StallAfter:       time.Second,
			ConnectTimeout:   time.Second,
			MaxQueuePerCell:  2048,
			EndpointFailures: 3,
		},
		Claims: Claims{Retention: 24 * time.Hour, WritesPerSecond: 12, Timeout: 2 * time.Second},
		Stop:   Stop{ReadinessDelay: time.Second},
		Log:    Log{Level: "info", Format: "json"},
	}
}
