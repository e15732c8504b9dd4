package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/transport/engine"
)

// testEngine is an engine in a synctest bubble, called without a network.
type testEngine struct {
	t      *testing.T
	server *Server
}

// run calls body with a running engine in a synctest bubble.
func run(t *testing.T, o Options, body func(t *testing.T, b testEngine)) {
	synctest.Test(t, func(t *testing.T) {
		if o.Model == "" {
			o.Model = "notes"
		}
		s := NewServer(o)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { s.Run(ctx) })
		body(t, testEngine{t: t, server: s})
		cancel()
		running.Wait()
	})
}

// reply is a recorded response; aborted is set if the connection was closed before its end.
type reply struct {
	*httptest.ResponseRecorder
	aborted bool
}

// call sends a request and waits for the end of the response.
func (b testEngine) call(ctx context.Context, method, path, body string, header map[string]string) (out reply) {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	out.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			assert.Assert(b.t, p == http.ErrAbortHandler)
			out.aborted = true
		}
	}()
	b.server.ServeHTTP(out.ResponseRecorder, r)
	return out
}

// generate sends a streaming completion request and waits for the end of the response.
func (b testEngine) generate(ctx context.Context, id, prompt string, header map[string]string) reply {
	body := fmt.Sprintf(`{"model":"notes","prompt":%q,"stream":true,"stream_options":{"include_usage":true}}`, prompt)
	all := map[string]string{engine.HeaderRequestID: id}
	for name, value := range header {
		all[name] = value
	}
	return b.call(ctx, http.MethodPost, "/v1/completions", body, all)
}

func (b testEngine) load() engine.LoadReportBody {
	var body engine.LoadReportBody
	r := b.call(b.t.Context(), http.MethodGet, "/load", "", nil)
	assert.NilError(b.t, json.Unmarshal(r.Body.Bytes(), &body))
	return body
}

// numbers returns the part numbers of a stream, and whether the stream has the terminator "[DONE]".
func (r reply) numbers(t *testing.T) (numbers []int, done bool) {
	t.Helper()
	scanner := bufio.NewScanner(r.Body)
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			n, err := strconv.Atoi(id)
			assert.NilError(t, err)
			numbers = append(numbers, n)
		}
		done = done || scanner.Text() == "data: [DONE]"
	}
	return numbers, done
}

// numbersBetween returns the numbers from first to last, both included.
func numbersBetween(first, last int) []int {
	var out []int
	for n := first; n <= last; n++ {
		out = append(out, n)
	}
	return out
}

// Guards against a stream that lacks part numbers, the finish reason, the usage part or the terminator.
func TestStreamHasEveryPartOnce(t *testing.T) {
	run(t, Options{Tokens: 5}, func(t *testing.T, b testEngine) {
		r := b.generate(t.Context(), "r", "hello", nil)
		text := r.Body.String()
		numbers, done := r.numbers(t)
		assert.DeepEqual(t, numbers, numbersBetween(0, 5))
		assert.Assert(t, done)
		assert.Equal(t, strings.Count(text, `"finish_reason":"stop"`), 1)
		assert.Assert(t, strings.Contains(text, `"choices":[],"usage":{"prompt_tokens":2,"completion_tokens":5,"total_tokens":7}`))
	})
}

// Guards against a complete answer that lacks tokens, and against an answer longer than the token bound of the request.
func TestAnswerRespectsTokenBound(t *testing.T) {
	run(t, Options{Tokens: 50}, func(t *testing.T, b testEngine) {
		r := b.call(t.Context(), http.MethodPost, "/v1/chat/completions",
			`{"model":"notes","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_tokens":3}`, nil)
		assert.Equal(t, r.Code, http.StatusOK)
		var p part
		assert.NilError(t, json.Unmarshal(r.Body.Bytes(), &p))
		assert.Equal(t, *p.Choices[0].FinishReason, "length")
		words := strings.Fields(p.Choices[0].Message.Content)
		assert.Equal(t, len(words), 3)
		assert.Assert(t, strings.HasPrefix(words[2], PromptHash("user: hi\n")+"."))
	})
}

// Guards against a generation that ends when its connection breaks, and against a resumed stream that repeats or omits
// parts.
func TestGenerationOutlivesItsConnection(t *testing.T) {
	run(t, Options{Tokens: 100}, func(t *testing.T, b testEngine) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		broken := b.generate(ctx, "r", "hello", nil)
		assert.Assert(t, broken.aborted)
		first, _ := broken.numbers(t)
		assert.Assert(t, len(first) > 10 && len(first) < 100)
		time.Sleep(time.Second)
		last := strconv.Itoa(first[len(first)-1])
		resumed := b.call(t.Context(), http.MethodGet, "/v1/generations/r/stream", "", map[string]string{"Last-Event-ID": last})
		rest, done := resumed.numbers(t)
		assert.Assert(t, done)
		assert.DeepEqual(t, append(first, rest...), numbersBetween(0, 100))
		unknown := b.call(t.Context(), http.MethodGet, "/v1/generations/other/stream", "", nil)
		assert.Equal(t, unknown.Code, http.StatusNotFound)
	})
}

// Guards against abandoned generations that never release their memory.
func TestAbandonedGenerationEnds(t *testing.T) {
	run(t, Options{Tokens: 100_000, DetachGrace: 3 * time.Second}, func(t *testing.T, b testEngine) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		b.generate(ctx, "r", "hello", nil)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.server.Stats().Running, 1)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.server.Stats().Abandoned, int64(1))
		assert.Equal(t, b.load().BlocksUsed, int64(0))
	})
}

// Guards against a cancellation that does not stop the generation, or that fails for a generation that has ended.
func TestCancel(t *testing.T) {
	run(t, Options{Tokens: 1000}, func(t *testing.T, b testEngine) {
		ended := make(chan reply, 1)
		go func() { ended <- b.generate(t.Context(), "r", "hello", nil) }()
		time.Sleep(time.Second)
		for range 2 {
			assert.Equal(t, b.call(t.Context(), http.MethodDelete, "/v1/generations/r", "", nil).Code, http.StatusNoContent)
		}
		assert.Assert(t, (<-ended).aborted)
		assert.Equal(t, b.load().Running, 0)
		assert.Equal(t, b.server.Stats().Cancelled, int64(1))
		assert.Equal(t, b.call(t.Context(), http.MethodDelete, "/v1/generations/x", "", nil).Code, http.StatusNotFound)
	})
}

// Guards against a fake engine that handles any load while it is cold, and against one that never becomes warm.
func TestColdEngineCrashesUnderLoad(t *testing.T) {
	run(t, Options{Tokens: 10, StartsCold: true, WarmAfter: 2, CrashesWhenOverloadedCold: true}, func(t *testing.T, b testEngine) {
		ended := make(chan reply, 2)
		for _, id := range []string{"a", "b"} {
			go func() { ended <- b.generate(t.Context(), id, "hello", nil) }()
		}
		assert.Assert(t, (<-ended).aborted)
		assert.Assert(t, (<-ended).aborted)
		assert.Equal(t, b.server.Stats().ColdExcess, int64(1))
		assert.Assert(t, b.call(t.Context(), http.MethodGet, "/load", "", nil).aborted, "a restarting engine must not answer")
		time.Sleep(time.Second)
		assert.Equal(t, b.load().Incarnation, "2")
		began := time.Now()
		b.generate(t.Context(), "c", "hello", nil)
		cold := time.Since(began)
		b.generate(t.Context(), "d", "hello", nil)
		began = time.Now()
		b.generate(t.Context(), "e", "hello", nil)
		assert.Assert(t, cold > 3*time.Since(began), "cold %v", cold)
		assert.Assert(t, !b.server.Stats().Cold)
		b.server.MakeCold()
		assert.Assert(t, b.server.Stats().Cold)
		assert.Equal(t, b.load().Incarnation, "2")
	})
}

// Guards against a stalled engine that closes its connections or loses parts.
func TestStallSendsNothingAndLosesNothing(t *testing.T) {
	run(t, Options{Tokens: 100}, func(t *testing.T, b testEngine) {
		began := time.Now()
		ended := make(chan reply, 1)
		go func() { ended <- b.generate(t.Context(), "r", "hello", nil) }()
		time.Sleep(time.Second)
		b.server.Stall(10 * time.Second)
		r := <-ended
		assert.Equal(t, time.Since(began), 11*time.Second)
		numbers, done := r.numbers(t)
		assert.Assert(t, done)
		assert.DeepEqual(t, numbers, numbersBetween(0, 100))
	})
}

// Guards against a leaving engine that accepts new requests, or that aborts running generations.
func TestLeavingFinishesRunningWork(t *testing.T) {
	run(t, Options{Tokens: 100, LeaveDelay: time.Second}, func(t *testing.T, b testEngine) {
		ended := make(chan reply, 1)
		go func() { ended <- b.generate(t.Context(), "r", "hello", nil) }()
		time.Sleep(100 * time.Millisecond)
		b.server.StartLeaving()
		assert.Assert(t, b.load().Draining)
		time.Sleep(time.Second)
		refused := b.generate(t.Context(), "late", "hello", nil)
		assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
		assert.Equal(t, refused.Header().Get(engine.HeaderRefused), engine.RefusedLeaving)
		assert.Equal(t, b.server.Stats().LastRequestAfterLeaving, time.Second)
		_, done := (<-ended).numbers(t)
		assert.Assert(t, done)
	})
}

// Guards against orders and requests with a stale fencing token that take effect, and against an engine that
// checks the token although HonoursFencing is not set.
func TestFencing(t *testing.T) {
	for _, honours := range []bool{true, false} {
		run(t, Options{Tokens: 1, HonoursFencing: honours}, func(t *testing.T, b testEngine) {
			order := func(fence, model string) reply {
				return b.call(t.Context(), http.MethodPost, "/orders", `{"action":"load","model":"`+model+`"}`,
					map[string]string{engine.HeaderFence: fence})
			}
			assert.Equal(t, order("7", "a").Code, http.StatusAccepted)
			stale := order("6", "b")
			request := b.generate(t.Context(), "r", "hello", map[string]string{engine.HeaderFence: "6"})
			models := strings.Join(b.load().Models, " ")
			if !honours {
				assert.Equal(t, stale.Code, http.StatusAccepted)
				assert.Equal(t, request.Code, http.StatusOK)
				assert.Equal(t, b.server.Stats().StaleOrdersApplied, int64(1))
				return
			}
			assert.Equal(t, stale.Code, http.StatusConflict)
			assert.Equal(t, stale.Header().Get(engine.HeaderRefused), engine.RefusedStaleFence)
			assert.Equal(t, request.Header().Get(engine.HeaderRefused), engine.RefusedStaleFence)
			assert.Assert(t, strings.Contains(models, "a") && !strings.Contains(models, "b"))
		})
	}
}

// Guards against load reports that show a change before the lag has passed, or that give a wrong age.
func TestLoadReportLags(t *testing.T) {
	run(t, Options{Tokens: 100_000, LoadLag: 500 * time.Millisecond}, func(t *testing.T, b testEngine) {
		time.Sleep(time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan reply, 1)
		go func() { ended <- b.generate(ctx, "r", "hello", nil) }()
		time.Sleep(499 * time.Millisecond)
		assert.Equal(t, b.load().Running+b.load().Waiting, 0)
		assert.Equal(t, b.load().AgeMS, int64(500))
		time.Sleep(101 * time.Millisecond)
		assert.Equal(t, b.load().Running, 1)
		assert.Assert(t, b.load().AgeMS <= 500)
		cancel()
		<-ended
	})
}

// Guards against cache events that are served without the lag, or none of which are dropped.
func TestCacheEventsLagAndHaveGaps(t *testing.T) {
	o := Options{Tokens: 1, Seed: 1, CacheEventLag: time.Second, CacheEventLoss: 0.5}
	run(t, o, func(t *testing.T, b testEngine) {
		b.generate(t.Context(), "r", strings.Repeat("0123456789abcdef", 16*20), nil)
		events := func() (out struct{ Events []CacheEvent }) {
			r := b.call(t.Context(), http.MethodGet, "/cache-events?after=1", "", nil)
			assert.NilError(t, json.Unmarshal(r.Body.Bytes(), &out))
			return out
		}
		assert.Equal(t, len(events().Events), 0)
		time.Sleep(time.Second)
		shown := events().Events
		assert.Assert(t, len(shown) > 10 && len(shown) < 70, len(shown))
		assert.Equal(t, shown[0].Kind, CacheStored)
	})
}

// Guards against a prompt with the crash marker that does not crash each incarnation that receives it.
func TestMarkedPromptCrashesEngine(t *testing.T) {
	run(t, Options{Tokens: 10, CrashMarker: "BOOM"}, func(t *testing.T, b testEngine) {
		for n := range 2 {
			assert.Assert(t, b.generate(t.Context(), strconv.Itoa(n), "go BOOM", nil).aborted)
			time.Sleep(time.Second)
		}
		assert.Equal(t, b.server.Stats().Crashes, int64(2))
		assert.Equal(t, b.load().Incarnation, "3")
	})
}

// Guards against lengths without a heavy tail, and against different lengths for the same prompt.
func TestLengthsAreHeavyTailedAndRepeatable(t *testing.T) {
	o := Options{Seed: 3, Lengths: []LengthClass{{Marker: "short", Median: 4, Max: 8}, {Median: 100, Sigma: 1.5}}}
	longest, total := 0, 0
	for n := range 2000 {
		p := newPrompt(fmt.Sprint("draft ", n), 16)
		length := drawLength(o, p)
		assert.Equal(t, length, drawLength(o, p))
		longest, total = max(longest, length), total+length
		assert.Assert(t, drawLength(o, newPrompt(fmt.Sprint("short ", n), 16)) <= 8)
	}
	assert.Assert(t, longest > 10*total/2000)
}
