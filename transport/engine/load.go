package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// maxLoadReportBodyBytes bounds the body of a load report.
const maxLoadReportBodyBytes = 256 << 10

// LoadReportBody is the JSON of a load report.
type LoadReportBody struct {
	Incarnation      string   `json:"incarnation"`
	AgeMS            int64    `json:"age_ms"`
	Running          int      `json:"running"`
	Waiting          int      `json:"waiting"`
	CompletedTotal   int64    `json:"completed_total"`
	PreemptionsTotal int64    `json:"preemptions_total"`
	BlocksUsed       int64    `json:"blocks_used"`
	BlocksTotal      int64    `json:"blocks_total"`
	BlockTokens      int64    `json:"block_tokens"`
	StepMS           float64  `json:"step_ms"`
	Draining         bool     `json:"draining"`
	Models           []string `json:"models"`
}

// ReadLoad reads the load report of an endpoint.
func (c *Client) ReadLoad(ctx context.Context, e message.Endpoint) (message.LoadReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(e.Address, "/load"), nil)
	if err != nil {
		return message.LoadReport{}, Error.Wrap(err)
	}
	resp, err := c.reports.RoundTrip(req)
	if err != nil {
		return message.LoadReport{}, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return message.LoadReport{}, Error.New("load report answered %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadReportBodyBytes))
	if err != nil {
		return message.LoadReport{}, Error.Wrap(err)
	}
	report, err := parseLoad(data)
	report.Endpoint = e.ID
	return report, err
}

// parseLoad decodes a load report and rejects negative figures.
func parseLoad(data []byte) (message.LoadReport, error) {
	var body LoadReportBody
	if err := json.Unmarshal(data, &body); err != nil {
		return message.LoadReport{}, Error.New("load report: %w", err)
	}
	if body.Running < 0 || body.Waiting < 0 || body.AgeMS < 0 || body.BlocksUsed < 0 || body.BlocksTotal < 0 ||
		body.BlockTokens < 0 || body.StepMS < 0 {
		return message.LoadReport{}, Error.New("load report has a negative figure")
	}
	return message.LoadReport{
		Incarnation: body.Incarnation, Age: time.Duration(body.AgeMS) * time.Millisecond,
		Running: body.Running, Waiting: body.Waiting, CompletedTotal: body.CompletedTotal,
		PreemptionsTotal: body.PreemptionsTotal, BlocksUsed: body.BlocksUsed, BlocksTotal: body.BlocksTotal,
		BlockTokens: body.BlockTokens, StepTime: time.Duration(body.StepMS * float64(time.Millisecond)),
		Leaving: body.Draining, Models: body.Models,
	}, nil
}
