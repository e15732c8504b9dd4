package logging

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Part is the name of a part of the daemon. The log messages of the part start with the name and a colon.
type Part string

// Parts of the daemon.
const (
	Gateway       Part = "gateway"
	Router        Part = "router"
	Dispatcher    Part = "dispatcher"
	Claims        Part = "claims"
	Ownership     Part = "ownership"
	Configuration Part = "config"
	Membership    Part = "membership"
	Operator      Part = "operator"
	Peer          Part = "peer"
	Engine        Part = "engine"
	Node          Part = "node"
)

// For returns a logger whose messages start with the prefix of the part.
func For(log *zap.Logger, part Part) *zap.Logger {
	prefix := string(part) + ": "
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return prefixCore{Core: core, prefix: prefix}
	}))
}

// prefixCore adds a fixed prefix to each message.
type prefixCore struct {
	zapcore.Core
	prefix string
}

// With implements zapcore.Core.
func (c prefixCore) With(fields []zapcore.Field) zapcore.Core {
	return prefixCore{Core: c.Core.With(fields), prefix: c.prefix}
}

// Check implements zapcore.Core.
func (c prefixCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c prefixCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	entry.Message = c.prefix + entry.Message
	return c.Core.Write(entry, fields)
}
