package etcd

import (
	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/gen/etcdserverpb/etcdserverpbconnect"
)

// endpoint holds the generated clients for one address.
type endpoint struct {
	kv    etcdserverpbconnect.KVClient
	watch etcdserverpbconnect.WatchClient
	lease etcdserverpbconnect.LeaseClient
}

func newEndpoint(client connect.HTTPClient, url string, options ...connect.ClientOption) endpoint {
	return endpoint{
		kv:    etcdserverpbconnect.NewKVClient(client, url, options...),
		watch: etcdserverpbconnect.NewWatchClient(client, url, options...),
		lease: etcdserverpbconnect.NewLeaseClient(client, url, options...),
	}
}
