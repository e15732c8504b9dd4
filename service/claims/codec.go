package claims

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/claim"
)

// Error is the class of the errors of this package.
var Error = errs.Class("claims")

// storedRecord is the stored form of a claim.Record. It is a CBOR array, since field names would double its size.
type storedRecord struct {
	_           struct{} `cbor:",toarray"`
	Kind        uint8
	Key         []byte
	Fingerprint uint64
	Attempt     string
	// UnixMilli is the time of the record in milliseconds since the Unix epoch.
	UnixMilli int64
	Outcome   *storedOutcome
}

// storedOutcome is the stored form of a message.ClaimOutcome.
type storedOutcome struct {
	_           struct{} `cbor:",toarray"`
	Status      int
	ContentType string
	Body        []byte
	BodyDropped bool
}

// encodeBatch returns the stored form of a batch.
func encodeBatch(records []claim.Record) ([]byte, error) {
	batch := make([]storedRecord, 0, len(records))
	for _, r := range records {
		s := storedRecord{
			Kind: uint8(r.Kind), Key: r.Key[:], Fingerprint: r.Fingerprint, Attempt: r.Attempt, UnixMilli: r.At.UnixMilli(),
		}
		if o := r.Outcome; o != nil {
			s.Outcome = &storedOutcome{
				Status: o.Status, ContentType: o.ContentType, Body: o.Body, BodyDropped: o.BodyDropped,
			}
		}
		batch = append(batch, s)
	}
	data, err := cbor.Marshal(batch)
	return data, Error.Wrap(err)
}

// decodeBatch returns the records of a stored batch. A damaged batch is an error: if it were skipped, its claims could be
// granted again.
func decodeBatch(data []byte) ([]claim.Record, error) {
	var batch []storedRecord
	if err := cbor.Unmarshal(data, &batch); err != nil {
		return nil, Error.Wrap(err)
	}
	records := make([]claim.Record, 0, len(batch))
	for _, s := range batch {
		if len(s.Key) != len(message.ClaimKey{}) {
			return nil, Error.New("record has a key of invalid length: %d bytes", len(s.Key))
		}
		r := claim.Record{
			Kind: claim.Kind(s.Kind), Key: message.ClaimKey(s.Key), Fingerprint: s.Fingerprint, Attempt: s.Attempt,
			At: time.UnixMilli(s.UnixMilli),
		}
		if r.Kind < claim.KindClaimed || r.Kind > claim.KindReleased {
			return nil, Error.New("record has unknown kind %d", s.Kind)
		}
		if o := s.Outcome; o != nil {
			r.Outcome = &message.ClaimOutcome{
				Status: o.Status, ContentType: o.ContentType, Body: o.Body, BodyDropped: o.BodyDropped,
			}
		}
		records = append(records, r)
	}
	return records, nil
}
