package journaler

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// recordsField is the key of the records in an encoded document.
const recordsField = 5

// envelope is the encoded form of Document. Each record is kept raw, so that
// the fields of a newer release are found per record.
type envelope struct {
	Version   uint              `cbor:"1,keyasint"`
	Owner     string            `cbor:"2,keyasint"`
	Commit    Commit            `cbor:"3,keyasint"`
	Takeovers []Commit          `cbor:"4,keyasint,omitempty"`
	Records   []cbor.RawMessage `cbor:"5,keyasint"`
}

// codec encodes and decodes shard documents.
type codec struct {
	enc     cbor.EncMode
	strict  cbor.DecMode // refuses unknown fields
	lenient cbor.DecMode // ignores unknown fields
}

func newCodec() (*codec, error) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	opts := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}
	lenient, err := opts.DecMode()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	opts.ExtraReturnErrors = cbor.ExtraDecErrorUnknownField
	strict, err := opts.DecMode()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &codec{
		enc:     enc,
		strict:  strict,
		lenient: lenient,
	}, nil
}

// encode returns the value of the document; equal documents give equal bytes.
func (c *codec) encode(d *Document) ([]byte, error) {
	ids := make([]uuid.UUID, 0, len(d.Records))
	for id := range d.Records {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b uuid.UUID) int { return bytes.Compare(a[:], b[:]) })
	env := envelope{
		Version:   d.Version,
		Owner:     d.Owner,
		Commit:    d.Commit,
		Takeovers: d.Takeovers,
		Records:   make([]cbor.RawMessage, 0, len(ids)),
	}
	for _, id := range ids {
		r := d.Records[id]
		raw, err := c.marshal(r, r.Extra)
		if err != nil {
			return nil, err
		}
		env.Records = append(env.Records, raw)
	}
	return c.marshal(env, d.Extra)
}

// decode reads a document of this release or of a neighbouring one. Unknown
// fields are kept; an unknown state is refused, because no rule of this
// release covers it.
func (c *codec) decode(data []byte) (*Document, error) {
	var env envelope
	extra, err := c.unmarshal(data, &env)
	if err != nil {
		return nil, err
	}
	if env.Version == 0 || env.Version > DocumentVersion+1 {
		return nil, Error.Wrap(fmt.Errorf("%w: got %d, want 1 to %d", ErrUnsupportedVersion, env.Version, DocumentVersion+1))
	}
	d := NewDocument()
	d.Version = max(env.Version, DocumentVersion)
	d.Owner = env.Owner
	d.Commit = env.Commit
	d.Takeovers = env.Takeovers
	d.Extra = extra
	for _, raw := range env.Records {
		var r Record
		if r.Extra, err = c.unmarshal(raw, &r); err != nil {
			return nil, err
		}
		if !r.State.valid() {
			return nil, Error.Wrap(fmt.Errorf("%w: record %s has state %q", ErrUnsupportedVersion, r.ID, r.State))
		}
		if _, ok := d.Records[r.ID]; ok {
			return nil, Error.Wrap(fmt.Errorf("%w: record %s occurs twice", ErrCorrupt, r.ID))
		}
		d.put(r)
	}
	return d, nil
}

func (c *codec) marshal(v any, extra map[uint64]cbor.RawMessage) ([]byte, error) {
	data, err := c.enc.Marshal(v)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(extra) == 0 {
		return data, nil
	}
	fields := map[uint64]cbor.RawMessage{}
	if err := c.lenient.Unmarshal(data, &fields); err != nil {
		return nil, Error.Wrap(err)
	}
	for key, raw := range extra {
		if _, ok := fields[key]; !ok {
			fields[key] = raw
		}
	}
	data, err = c.enc.Marshal(fields)
	return data, Error.Wrap(err)
}

// unmarshal decodes into v and returns the fields that v does not have. Most
// documents have none, so the fields are separated only after a strict decode
// failed. Unknown fields inside a known field are refused.
func (c *codec) unmarshal(data []byte, v any) (map[uint64]cbor.RawMessage, error) {
	if c.strict.Unmarshal(data, v) == nil {
		return nil, nil
	}
	fields := map[uint64]cbor.RawMessage{}
	if err := c.lenient.Unmarshal(data, &fields); err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrCorrupt, err))
	}
	known := map[uint64]cbor.RawMessage{}
	for key, raw := range fields {
		if knownField(v, key) {
			known[key] = raw
			delete(fields, key)
		}
	}
	rest, err := c.enc.Marshal(known)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := c.strict.Unmarshal(rest, v); err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrCorrupt, err))
	}
	return fields, nil
}

func knownField(v any, key uint64) bool {
	if _, ok := v.(*envelope); ok {
		return key >= 1 && key <= recordsField
	}
	switch {
	case key >= 1 && key <= 7, key >= 10 && key <= 17, key >= 20 && key <= 23:
		return true
	case key >= 30 && key <= 33, key >= 40 && key <= 46:
		return true
	}
	return false
}
