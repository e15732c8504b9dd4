package main

import (
	"context"
	"crypto/tls"
	"net/http"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/etcd"
	"azuredyke.dev/azuredyke/backing/file"
	"azuredyke.dev/azuredyke/backing/hostlist"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/common/tlsfiles"
)

// openKV returns the key-value store that the settings select. The memory and file stores run until ctx is cancelled.
func openKV(ctx context.Context, s settings.Settings, tlsConfig *tls.Config) backing.KV {
	kv := s.Platform.KeyValue
	switch kv.Kind {
	case settings.KeyValueEtcd:
		return etcd.New(kv.Addresses, kv.Timeout, tlsConfig)
	case settings.KeyValueMemory:
		store := memory.NewKV()
		go store.Run(ctx)
		return store
	default:
		store := file.NewSingleNodeKV(kv.Path)
		go store.Run(ctx)
		return store
	}
}

// openHostList returns the host list that the settings select.
func openHostList(s settings.HostList, tlsConfig *tls.Config) backing.HostList {
	if s.Kind == settings.HostListFile {
		return hostlist.NewFile(s.Path)
	}
	return hostlist.NewHTTP(&http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig}}, s.URL)
}

// platformTLS returns the TLS configuration for connections to the platform, or nil when TLS is not configured.
func platformTLS(log *zap.Logger, s settings.Settings) (*tls.Config, error) {
	files, err := tlsfiles.New(log, s.TLS.Platform)
	if err != nil || files == nil {
		return nil, err
	}
	return files.Client(), nil
}
