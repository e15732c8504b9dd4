package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/service/limits"
	"azuredyke.dev/azuredyke/service/quarantine"
	"azuredyke.dev/azuredyke/service/retries"
	"azuredyke.dev/azuredyke/transport/engine"
)

// testGateway is a gateway with scripted endpoints, started by newTestGateway.
type testGateway struct {
	url     string
	server  *Server
	placer  *listPlacer
	claimer *memoryClaimer
}

// listPlacer grants the first endpoint of a list that the request does not exclude.
type listPlacer struct {
	addresses   []string
	startWithin time.Duration
	delay       time.Duration
	reports     chan message.GrantReport
	placed      atomic.Int64
}

func (p *listPlacer) Place(_ context.Context, r message.PlaceRequest) (message.PlaceReply, error) {
	time.Sleep(p.delay)
	for _, a := range p.addresses {
		if !strings.Contains(strings.Join(r.Exclude, " "), a) {
			n := p.placed.Add(1)
			return message.PlaceReply{Grant: &message.Grant{
				Number: uint64(n), Endpoint: message.Endpoint{ID: a, Address: a}, StartWithin: p.startWithin,
			}}, nil
		}
	}
	return message.PlaceReply{Refusal: &message.Refusal{Reason: verdict.ReasonNoEndpoint, Detail: "none left"}}, nil
}

func (p *listPlacer) Report(_ context.Context, r message.GrantReport) error {
	p.reports <- r
	return nil
}

// endReports removes the received reports and returns those that end a grant.
func (p *listPlacer) endReports() []message.GrantReport {
	var ended []message.GrantReport
	for {
		select {
		case r := <-p.reports:
			if r.Event.Ends() {
				ended = append(ended, r)
			}
		default:
			return ended
		}
	}
}

// memoryClaimer stands in for one durable claim shard. The channel of capacity 1 serialises access to the map.
type memoryClaimer struct {
	claims      chan map[message.ClaimKey]*memoryClaim
	unavailable atomic.Bool
}

type memoryClaim struct {
	request message.ClaimRequest
	outcome *message.ClaimOutcome
}

func newMemoryClaimer() *memoryClaimer {
	c := &memoryClaimer{claims: make(chan map[message.ClaimKey]*memoryClaim, 1)}
	c.claims <- map[message.ClaimKey]*memoryClaim{}
	return c
}

func (c *memoryClaimer) Claim(_ context.Context, r message.ClaimRequest) (message.ClaimReply, error) {
	if c.unavailable.Load() {
		return message.ClaimReply{Status: message.ClaimUnavailable}, nil
	}
	claims := <-c.claims
	defer func() { c.claims <- claims }()
	known := claims[r.Key]
	switch {
	case known == nil:
		claims[r.Key] = &memoryClaim{request: r}
		return message.ClaimReply{Status: message.ClaimGranted}, nil
	case known.request.Fingerprint != r.Fingerprint:
		return message.ClaimReply{Status: message.ClaimMismatch}, nil
	case known.outcome != nil:
		return message.ClaimReply{Status: message.ClaimFinished, Outcome: known.outcome}, nil
	default:
		return message.ClaimReply{Status: message.ClaimHeld}, nil
	}
}

func (c *memoryClaimer) Settle(_ context.Context, s message.ClaimSettle) error {
	claims := <-c.claims
	defer func() { c.claims <- claims }()
	known := claims[s.Key]
	if known == nil || known.request.Attempt != s.Attempt {
		return nil
	}
	if s.Released {
		delete(claims, s.Key)
		return nil
	}
	known.outcome = s.Outcome
	return nil
}

// newTestGateway starts a gateway for the endpoints, with the model service "notes" and the plain service "orders".
func newTestGateway(t *testing.T, endpoints ...*scriptedEndpoint) *testGateway {
	t.Helper()
	g := &testGateway{
		placer:  &listPlacer{startWithin: time.Minute, reports: make(chan message.GrantReport, 10_000)},
		claimer: newMemoryClaimer(),
	}
	for _, e := range endpoints {
		g.placer.addresses = append(g.placer.addresses, e.address)
	}
	current := latest.New(testConfig())
	limiter := limits.NewLimiter(current, latest.New(1))
	budget := retries.NewManager()
	quarantineManager := quarantine.NewManager(zaptest.NewLogger(t), quarantine.NoPeers{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, run := range []func(context.Context){limiter.Run, budget.Run, quarantineManager.Run} {
		go run(ctx)
	}
	detached := NewDetachedSessions()
	go detached.Run(ctx)
	client := engine.NewClient(time.Second, nil)
	t.Cleanup(client.Close)
	g.server = NewServer(zaptest.NewLogger(t), Options{
		Limits:     settings.Limits{BodyBytes: 64 << 10, BodyTimeout: time.Minute, OpenRequests: 1000},
		StallAfter: 100 * time.Millisecond, FirstTokenTimeout: time.Minute, ClaimTimeout: time.Second, ClaimRetention: time.Hour,
	}, Dependencies{
		Config: current, Placer: g.placer, Claimer: g.claimer, Limiter: limiter, Retries: budget, Quarantine: quarantineManager,
		Client: client, Detached: detached, Takeover: localTakeover{detached}, Hosts: latest.New(hostsOf(endpoints)),
	}, tally.NoopScope)
	server := httptest.NewServer(g.server.Handler())
	t.Cleanup(server.Close)
	g.url = server.URL
	return g
}

func testConfig() *config.Snapshot {
	sum := sha256.Sum256([]byte("key"))
	return config.NewSnapshot(1, []*config.Object{
		{Ref: config.Ref{Kind: config.KindModel, Name: "notes"}, Model: &config.Model{}},
		{Ref: config.Ref{Kind: config.KindService, Name: "notes"}, Service: &config.Service{
			Type: config.ServiceTypeModel, Models: []string{"notes"}, QueueTimeout: time.Minute,
		}},
		{Ref: config.Ref{Kind: config.KindService, Name: "orders"}, Service: &config.Service{
			Type: config.ServiceTypePlain, QueueTimeout: time.Minute,
		}},
		{Ref: config.Ref{Kind: config.KindWorkspace, Name: "w"}, Workspace: &config.Workspace{
			KeyHashes: []string{hex.EncodeToString(sum[:])},
		}},
	})
}

// answer is the response that a caller received.
type answer struct {
	status  int
	verdict string
	header  http.Header
	body    string
	// broken is set when the answer's body could not be read to its end.
	broken bool
}

// do sends a request and reads the complete answer. headers are pairs of name and value.
func (g *testGateway) do(t *testing.T, method, path, body string, headers ...string) answer {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, g.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer key")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, verdict: resp.Header.Get(verdict.Header), header: resp.Header, body: string(data),
		broken: err != nil,
	}
}

const (
	streamBody    = `{"model":"notes","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	nonStreamBody = `{"model":"notes","messages":[{"role":"user","content":"hi"}]}`
	chatPath      = "/v1/chat/completions"
)

// generationText is the text of a complete scripted generation.
const generationText = "<0><1><2><3><4><5><6><7><8><9>"

// streamText concatenates the texts of the parts of a streamed answer.
func streamText(body string) string {
	var text strings.Builder
	for _, line := range strings.Split(body, "\n") {
		if _, rest, ok := strings.Cut(line, `"content":"`); ok {
			part, _, _ := strings.Cut(rest, `"`)
			text.WriteString(part)
		}
	}
	return text.String()
}

// localTakeover takes over the detached sessions of this node only.
type localTakeover struct {
	detached *DetachedSessions
}

func (t localTakeover) TakeOver(ctx context.Context, _ func(string) bool, generation string) (message.Grant, bool) {
	return t.detached.TakeOver(ctx, generation)
}

func hostsOf(endpoints []*scriptedEndpoint) []message.Host {
	var hosts []message.Host
	for _, e := range endpoints {
		hosts = append(hosts, message.Host{ID: e.address, Address: e.address, Service: "notes", DataCentre: "d"})
	}
	return hosts
}
