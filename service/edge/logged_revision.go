package edge

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"azuredyke.dev/azuredyke/backing"
)

// loggedRevision logs a revision of the store as its number, with its era if the store has eras.
type loggedRevision struct {
	prefix   string
	revision int64
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r loggedRevision) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddInt64(r.prefix+"revision", backing.RevisionNumber(r.revision))
	if era := backing.RevisionEra(r.revision); era > 0 {
		encoder.AddInt64(r.prefix+"era", era)
	}
	return nil
}

// revisionField returns the log field of the revision that a log line is about.
func revisionField(revision int64) zap.Field { return zap.Inline(loggedRevision{revision: revision}) }

// itsRevisionField returns the log field of the revision of the other node, or of the store, to which a log line compares the first.
func itsRevisionField(revision int64) zap.Field {
	return zap.Inline(loggedRevision{prefix: "its_", revision: revision})
}
