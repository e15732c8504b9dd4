package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/service/limits"
	"azuredyke.dev/azuredyke/service/quarantine"
	"azuredyke.dev/azuredyke/service/retries"
	"azuredyke.dev/azuredyke/transport/engine"
)

// Environment of the process that stands for endpoints and callers, so that the figures of this process are those of the
// gateway alone.
const (
	envRelayPeer    = "AZUREDYKE_RELAY_PEER"
	envRelayStreams = "AZUREDYKE_RELAY_STREAMS"
	envRelayTokens  = "AZUREDYKE_RELAY_TOKENS"
)

// relayInterval is the time between two tokens of a stream.
const relayInterval = 50 * time.Millisecond

func TestMain(m *testing.M) {
	if os.Getenv(envRelayPeer) != "" {
		runRelayPeer()
		return
	}
	os.Exit(m.Run())
}

// BenchmarkRelay measures the processor time for a token and the memory of an open stream at several numbers of streams.
// Run it with -benchtime 1x. The values are us/token (user and system time of this process) and KB/stream (growth of the
// heap and the stacks in use).
func BenchmarkRelay(b *testing.B) {
	for _, streams := range []int{250, 500, 1000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for range b.N {
				measureRelay(b, streams, 100)
			}
		})
	}
}

func measureRelay(b *testing.B, streams, tokens int) {
	peer := startRelayPeer(b, streams, tokens)
	url := startRelayGateway(b, peer.endpoint)
	runtime.GC()
	before := memoryInUse()
	cpu := processorTime()
	_, err := fmt.Fprintln(peer.stdin, url)
	assert.NilError(b, err)
	time.Sleep(time.Duration(tokens) * relayInterval / 2)
	runtime.GC()
	memory := float64(memoryInUse()-before) / float64(streams) / 1024
	assert.Equal(b, peer.line(b), fmt.Sprintf("done %d", streams))
	spent := processorTime() - cpu
	b.ReportMetric(float64(spent.Microseconds())/float64(streams*tokens), "us/token")
	b.ReportMetric(memory, "KB/stream")
	assert.NilError(b, peer.cmd.Wait())
}

// relayPeer is the process of the endpoints and callers.
type relayPeer struct {
	cmd      *exec.Cmd
	stdin    io.Writer
	stdout   *bufio.Scanner
	endpoint string
}

func startRelayPeer(b *testing.B, streams, tokens int) *relayPeer {
	cmd := exec.CommandContext(b.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), envRelayPeer+"=1", fmt.Sprintf("%s=%d", envRelayStreams, streams),
		fmt.Sprintf("%s=%d", envRelayTokens, tokens))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	assert.NilError(b, err)
	stdout, err := cmd.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, cmd.Start())
	p := &relayPeer{cmd: cmd, stdin: stdin, stdout: bufio.NewScanner(stdout)}
	p.endpoint = p.line(b)
	return p
}

func (p *relayPeer) line(b *testing.B) string {
	assert.Assert(b, p.stdout.Scan())
	return p.stdout.Text()
}

func startRelayGateway(b *testing.B, endpoint string) string {
	placer := &listPlacer{addresses: []string{endpoint}, startWithin: time.Minute, reports: make(chan message.GrantReport, 1_000_000)}
	current := latest.New(testConfig())
	limiter, budget := limits.NewKeeper(current, latest.New(1)), retries.NewKeeper()
	keeper, detached := quarantine.NewKeeper(zap.NewNop(), quarantine.Alone{}), NewDetached()
	for _, run := range []func(context.Context){limiter.Run, budget.Run, keeper.Run, detached.Run} {
		go run(b.Context())
	}
	server := NewServer(zap.NewNop(), Options{
		Limits:     settings.Limits{BodyBytes: 1 << 20, BodyTimeout: time.Minute, OpenRequests: 10_000},
		StallAfter: time.Minute, FirstTokenTimeout: time.Minute,
	}, Dependencies{
		Config: current, Placer: placer, Claimer: newMemoryClaimer(), Limiter: limiter, Retries: budget,
		Quarantine: keeper, Client: engine.NewClient(10*time.Second, nil), Detached: detached,
	}, tally.NoopScope)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	h := &http.Server{Handler: server.Handler()}
	go func() { _ = h.Serve(listener) }()
	b.Cleanup(func() { _ = h.Close() })
	return "http://" + listener.Addr().String()
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runRelayPeer serves generations and calls the gateway, whose URL it reads from standard input.
func runRelayPeer() {
	var streams, tokens int
	_, _ = fmt.Sscan(os.Getenv(envRelayStreams), &streams)
	_, _ = fmt.Sscan(os.Getenv(envRelayTokens), &tokens)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(listener, relayEndpoint(tokens)) }()
	fmt.Println(listener.Addr())
	var url string
	_, _ = fmt.Scan(&url)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	done := make(chan bool, streams)
	for range streams {
		go func() { done <- relayCall(client, url, tokens) }()
	}
	whole := 0
	for range streams {
		if <-done {
			whole++
		}
	}
	fmt.Println("done", whole)
}

func relayEndpoint(tokens int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		ticker := time.NewTicker(relayInterval)
		defer ticker.Stop()
		for n := range tokens {
			<-ticker.C
			finish := "null"
			if n == tokens-1 {
				finish = `"stop"`
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"chatcmpl-0123456789abcdef\",\"object\":\"chat.completion.chunk\","+
				"\"created\":1764835200,\"model\":\"notes\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"},"+
				"\"logprobs\":null,\"finish_reason\":%s}]}\n\n", n, finish)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
}

func relayCall(client *http.Client, url string, tokens int) bool {
	req, err := http.NewRequest(http.MethodPost, url+chatPath, strings.NewReader(streamBody))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer key")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return err == nil && strings.Count(string(data), "data: {") == tokens && strings.HasSuffix(string(data), "[DONE]\n\n")
}
