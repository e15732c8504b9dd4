package router

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
)

// stallingProxy forwards TCP connections. A stalled connection stays open without any data being forwarded.
type stallingProxy struct {
	address string
	stalled atomic.Pointer[chan struct{}]
}

func startProxy(t *testing.T, target string) *stallingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &stallingProxy{address: listener.Addr().String()}
	open := make(chan struct{})
	p.stalled.Store(&open)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			stall := *p.stalled.Load()
			running.Go(func() { forward(ctx, in, out, stall) })
			running.Go(func() { forward(ctx, out, in, stall) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		cancel()
		running.Wait()
	})
	return p
}

// stallOpen stalls the connections that are open now. Later connections are forwarded.
func (p *stallingProxy) stallOpen() {
	next := make(chan struct{})
	close(*p.stalled.Swap(&next))
}

func forward(ctx context.Context, from, to net.Conn, stall <-chan struct{}) {
	defer to.Close()
	defer from.Close()
	stop := context.AfterFunc(ctx, func() { _ = from.Close() })
	defer stop()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-stall:
			<-ctx.Done()
			return
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// Guards against the loss of a request that was sent on a stalled link, and against a grant that stays charged because its
// reply was sent on that link.
func TestStalledLinkLosesNeitherRequestNorGrant(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	remote := newFakeCell(func(ctx context.Context, req message.PlaceRequest) (message.PlaceReply, error) {
		close(entered)
		<-release
		return answerGrant(ctx, req)
	})
	owner := startOwner(t, "", map[string]localCell{cellOne: remote})
	proxy := startProxy(t, owner.address)
	// The member table lists only the owner behind the proxy until the request has arrived there.
	members := latest.New(newMemberTable(map[string]string{cellOne: proxy.address}))
	r := startRouter(t, nil, members)
	replies := make(chan message.PlaceReply, 1)
	go func() {
		reply, _ := r.Place(t.Context(), newPlaceRequest())
		replies <- reply
	}()
	<-entered
	proxy.stallOpen()
	close(release)
	other := startOwner(t, "", map[string]localCell{cellTwo: newFakeCell(answerGrant)})
	members.Publish(newMemberTable(map[string]string{cellOne: proxy.address, cellTwo: other.address}))
	reply := <-replies
	assert.Assert(t, reply.Grant != nil, "%+v", reply.Refusal)
	assert.Equal(t, reply.Grant.Cell, cellTwo)
	assert.Equal(t, remote.nextReport(t).Event, message.GrantUnused)
}
