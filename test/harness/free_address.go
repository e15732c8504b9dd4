package harness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

const (
	// firstPort and portCount are below the ports that the system gives to connections, so that a port which was found
	// free is not taken by one before a node listens on it.
	firstPort = 12000
	portCount = 16000
	// portStride keeps test processes that run at the same time apart.
	portStride = 1009
)

// nextPort counts the ports that were tried.
var nextPort atomic.Int64

// freeAddress returns a loopback address on which nothing listens. Each call returns another one.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range portCount {
		offset := (int64(os.Getpid())*portStride + nextPort.Add(1)) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
