package main

import (
	"context"
	"crypto/tls"
	"net/http"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/common/tlsfiles"
	"azuredyke.dev/azuredyke/platform"
	"azuredyke.dev/azuredyke/platform/etcd"
	"azuredyke.dev/azuredyke/platform/file"
	"azuredyke.dev/azuredyke/platform/hostlist"
	"azuredyke.dev/azuredyke/platform/memory"
)

// openKV returns the key-value service of the settings. A service in memory lives until ctx ends.
func openKV(ctx context.Context, log *zap.Logger, s settings.Settings) (platform.KV, error) {
	kv := s.Platform.KeyValue
	switch kv.Kind {
	case settings.KeyValueEtcd:
		files, err := tlsfiles.New(log, s.TLS.Platform)
		if err != nil {
			return nil, err
		}
		var tlsConfig *tls.Config
		if files != nil {
			tlsConfig = files.Client()
		}
		return etcd.New(kv.Addresses, kv.Timeout, tlsConfig), nil
	case settings.KeyValueMemory:
		store := memory.NewKV()
		go store.Run(ctx)
		return store, nil
	default:
		local := file.NewLocal(kv.Path)
		go local.Run(ctx)
		return local, nil
	}
}

// openHostList returns the host list of the settings.
func openHostList(s settings.HostListSettings) platform.HostList {
	if s.Kind == settings.HostListFile {
		return hostlist.NewFile(s.Path)
	}
	return hostlist.NewHTTP(http.DefaultClient, s.URL)
}
