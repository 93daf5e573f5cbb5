package jobkeeper

import "github.com/fxamacker/cbor/v2"

// EncodeJob encodes a job document in CBOR, the form in which it is stored.
func EncodeJob(j *Job) ([]byte, error) {
	data, err := cbor.Marshal(j)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return data, nil
}

// DecodeJob decodes a stored job document and validates it.
func DecodeJob(data []byte) (*Job, error) {
	j := &Job{}
	if err := cbor.Unmarshal(data, j); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := j.Validate(); err != nil {
		return nil, err
	}
	return j, nil
}

// EncodeProgress encodes the progress of a job in CBOR, the form in which it is stored.
func EncodeProgress(p *Progress) ([]byte, error) {
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return data, nil
}

// DecodeProgress decodes the stored progress of a job. It does not validate it.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, Error.Wrap(err)
	}
	return p, nil
}
