package logging

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// Guards against log lines without the prefix of the part that wrote them.
func TestForAddsPrefixToEveryLine(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	log := For(zap.New(core), Gateway).With(zap.String("request", "r1"))
	log.Info("request accepted")
	log.Debug("not written")
	assert.Equal(t, logs.Len(), 1)
	assert.Equal(t, logs.All()[0].Message, "gateway: request accepted")
	assert.Equal(t, logs.All()[0].ContextMap()["request"], "r1")
}
