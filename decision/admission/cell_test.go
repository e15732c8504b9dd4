package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// Guards against a cold endpoint receiving more than its cold limit, and against a limit that grows without work.
func TestColdEndpointStaysWithinLimitUntilWorkCompletes(t *testing.T) {
	now := time.Unix(0, 0)
	c := NewCell("notes/kolkata/0", 7, Params{StartWithin: time.Second, ColdLimit: 1, MaxConcurrency: 4, MaxQueue: 10})
	c.SetEndpoints(now, []message.Endpoint{{ID: "e1"}}, nil)
	for ticket := range uint64(5) {
		assert.Assert(t, c.Enqueue(now, Waiting{Ticket: ticket, Deadline: now.Add(time.Hour)}) == nil)
	}
	assert.Equal(t, len(c.Dispatch(now)), 0, "an endpoint without a load report gets no work")
	c.ApplyLoad(now, message.LoadReport{Endpoint: "e1", Incarnation: "a"})
	first := c.Dispatch(now)
	assert.Equal(t, len(first), 1)
	now = now.Add(30 * time.Minute)
	assert.Equal(t, len(c.Dispatch(now)), 0, "time alone must not raise the limit")
	c.ApplyReport(now, message.GrantReport{
		Fence: 7, Number: first[0].Reply.Grant.Number, Event: message.GrantCompleted,
	})
	assert.Equal(t, len(c.Dispatch(now)), 2)
}
