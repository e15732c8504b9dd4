package development

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
)

func newOpenAIClient(site *Site, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+site.Addresses().Callers+"/v1/"), option.WithAPIKey(key),
		option.WithMaxRetries(0))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

// Guards against answers, streamed or not, that the OpenAI client library cannot parse.
func TestOpenAIClientReadsAnswers(t *testing.T) {
	site := startSite(t)
	client := newOpenAIClient(site, WorkspaceKey)
	whole, err := client.Chat.Completions.New(t.Context(), chatParams(Model))
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].FinishReason, "stop")
	assert.Equal(t, whole.Usage.CompletionTokens, int64(answerTokens))

	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams(Model))
	var text strings.Builder
	var usage int64
	for stream.Next() {
		chunk := stream.Current()
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
		usage += chunk.Usage.CompletionTokens
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, len(strings.Fields(text.String())), len(strings.Fields(whole.Choices[0].Message.Content)))
	assert.Equal(t, usage, int64(answerTokens))

	models, err := client.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, Model)

	completion, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: Model, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
	})
	assert.NilError(t, err)
	assert.Equal(t, string(completion.Choices[0].FinishReason), "stop")
}

// Guards against error bodies that the OpenAI client library cannot parse.
func TestOpenAIClientReadsErrors(t *testing.T) {
	site := startSite(t)
	for _, tc := range []struct {
		key, model, param string
		status            int
	}{
		{"wrong", Model, "Authorization", http.StatusUnauthorized},
		{WorkspaceKey, "none", "model", http.StatusNotFound},
	} {
		client := newOpenAIClient(site, tc.key)
		_, err := client.Chat.Completions.New(t.Context(), chatParams(tc.model))
		var failure *openai.Error
		assert.Assert(t, errors.As(err, &failure))
		assert.Equal(t, failure.StatusCode, tc.status)
		assert.Equal(t, failure.Param, tc.param)
		assert.Equal(t, failure.Response.Header.Get("Azuredyke-Verdict"), "not-run")
	}
}
