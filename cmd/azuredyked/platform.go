package main

import (
	"context"
	"net/http"

	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/platform"
	"azuredyke.dev/azuredyke/platform/etcd"
	"azuredyke.dev/azuredyke/platform/hostlist"
	"azuredyke.dev/azuredyke/platform/memory"
)

// openKV returns the key-value service of the settings. A service in memory lives until ctx ends.
func openKV(ctx context.Context, s settings.Settings) (platform.KV, error) {
	kv := s.Platform.KeyValue
	switch kv.Kind {
	case settings.KeyValueEtcd:
		return etcd.New(kv.Addresses, kv.Timeout, nil), nil
	case settings.KeyValueMemory:
		store := memory.NewKV()
		go store.Run(ctx)
		return store, nil
	default:
		return nil, errs.New("key-value service of kind %q is not supported", kv.Kind)
	}
}

// openHostList returns the host list of the settings.
func openHostList(s settings.HostListSettings) platform.HostList {
	if s.Kind == settings.HostListFile {
		return hostlist.NewFile(s.Path)
	}
	return hostlist.NewHTTP(http.DefaultClient, s.URL)
}
