// Package logging builds the process logger and adds the prefix of each part.
package logging

import (
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Error is the class of the errors of this package.
var Error = errs.Class("logging")

// New returns a logger that writes to standard error. The level is one of debug, info, warn, error; the format is
// "json" or "console".
func New(level, format string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, Error.New("level %q is not one of debug, info, warn, error", level)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.Encoding = format
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	log, err := cfg.Build()
	return log, Error.Wrap(err)
}

// NewAsync returns a logger that writes to an AsyncWriter, and the level of the logger, which can be changed at any time.
// The level and the format are those of New.
func NewAsync(level, format string, w *AsyncWriter) (*zap.Logger, zap.AtomicLevel, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, parsed, Error.New("level %q is not one of debug, info, warn, error", level)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(config)
	}
	return zap.New(zapcore.NewCore(encoder, w, parsed)), parsed, nil
}
