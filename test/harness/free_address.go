package harness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

const (
	// firstPort and portCount give a range below the system's ephemeral ports, so that no outgoing connection takes a free
	// port before a node listens on it.
	firstPort = 12000
	portCount = 16000
	// portStride separates the ports of test processes that run concurrently.
	portStride = 1009
)

// nextPort counts the ports tried so far.
var nextPort atomic.Int64

// freeAddress returns a loopback address on which nothing listens, a different one at each call.
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
	t.Fatal("no free loopback port in the range of the tests")
	return ""
}
