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

// Environment variables of the load process. The endpoint and the callers run in a separate process, so that the processor
// time and memory of this process are those of the gateway alone.
const (
	envLoadProcess  = "AZUREDYKE_RELAY_PEER"
	envRelayStreams = "AZUREDYKE_RELAY_STREAMS"
	envRelayTokens  = "AZUREDYKE_RELAY_TOKENS"
)

// relayInterval is the time between two tokens of a stream.
const relayInterval = 50 * time.Millisecond

func TestMain(m *testing.M) {
	if os.Getenv(envLoadProcess) != "" {
		runLoadProcess()
		return
	}
	os.Exit(m.Run())
}

// BenchmarkRelay measures the processor time for each token and the memory for each open stream at several numbers of
// streams. Run it with -benchtime 1x. The values are us/token (user and system time of this process) and KB/stream (growth of
// the heap and the stacks in use).
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
	process := startLoadProcess(b, streams, tokens)
	url := startRelayGateway(b, process.endpoint)
	runtime.GC()
	before := memoryInUse()
	cpu := processorTime()
	_, err := fmt.Fprintln(process.stdin, url)
	assert.NilError(b, err)
	time.Sleep(time.Duration(tokens) * relayInterval / 2)
	runtime.GC()
	memory := float64(memoryInUse()-before) / float64(streams) / 1024
	assert.Equal(b, process.line(b), fmt.Sprintf("done %d", streams))
	spent := processorTime() - cpu
	b.ReportMetric(float64(spent.Microseconds())/float64(streams*tokens), "us/token")
	b.ReportMetric(memory, "KB/stream")
	assert.NilError(b, process.cmd.Wait())
}

// loadProcess is a child process that runs an endpoint and the callers.
type loadProcess struct {
	cmd      *exec.Cmd
	stdin    io.Writer
	stdout   *bufio.Scanner
	endpoint string
}

func startLoadProcess(b *testing.B, streams, tokens int) *loadProcess {
	cmd := exec.CommandContext(b.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), envLoadProcess+"=1", fmt.Sprintf("%s=%d", envRelayStreams, streams),
		fmt.Sprintf("%s=%d", envRelayTokens, tokens))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	assert.NilError(b, err)
	stdout, err := cmd.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, cmd.Start())
	process := &loadProcess{cmd: cmd, stdin: stdin, stdout: bufio.NewScanner(stdout)}
	process.endpoint = process.line(b)
	return process
}

func (p *loadProcess) line(b *testing.B) string {
	assert.Assert(b, p.stdout.Scan())
	return p.stdout.Text()
}

func startRelayGateway(b *testing.B, endpoint string) string {
	placer := &listPlacer{addresses: []string{endpoint}, startWithin: time.Minute, reports: make(chan message.GrantReport, 1_000_000)}
	current := latest.New(testConfig())
	limiter, budget := limits.NewLimiter(current, latest.New(1)), retries.NewManager()
	quarantineManager, detached := quarantine.NewManager(zap.NewNop(), quarantine.NoPeers{}), NewDetachedSessions()
	for _, run := range []func(context.Context){limiter.Run, budget.Run, quarantineManager.Run, detached.Run} {
		go run(b.Context())
	}
	server := NewServer(zap.NewNop(), Options{
		Limits:     settings.Limits{BodyBytes: 1 << 20, BodyTimeout: time.Minute, OpenRequests: 10_000},
		StallAfter: time.Minute, FirstTokenTimeout: time.Minute,
	}, Dependencies{
		Config: current, Placer: placer, Claimer: newMemoryClaimer(), Limiter: limiter, Retries: budget,
		Quarantine: quarantineManager, Client: engine.NewClient(10*time.Second, nil), Detached: detached,
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

// runLoadProcess runs the endpoint and the callers. It prints the address of the endpoint, reads the URL of the gateway from
// standard input and prints the number of complete answers at the end.
func runLoadProcess() {
	var streams, tokens int
	_, _ = fmt.Sscan(os.Getenv(envRelayStreams), &streams)
	_, _ = fmt.Sscan(os.Getenv(envRelayTokens), &tokens)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(listener, endpointHandler(tokens)) }()
	fmt.Println(listener.Addr())
	var url string
	_, _ = fmt.Scan(&url)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	done := make(chan bool, streams)
	for range streams {
		go func() { done <- callGateway(client, url, tokens) }()
	}
	complete := 0
	for range streams {
		if <-done {
			complete++
		}
	}
	fmt.Println("done", complete)
}

func endpointHandler(tokens int) http.Handler {
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

// callGateway sends one streaming request and reports whether the answer is complete.
func callGateway(client *http.Client, url string, tokens int) bool {
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
