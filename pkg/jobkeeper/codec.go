package jobkeeper

import "github.com/fxamacker/cbor/v2"

// EncodeJob returns the stored form of a document.
func EncodeJob(j *Job) ([]byte, error) {
	data, err := cbor.Marshal(j)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return data, nil
}

// DecodeJob reads a stored document and validates it.
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

// EncodeProgress returns the stored form of the progress of a job.
func EncodeProgress(p *Progress) ([]byte, error) {
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return data, nil
}

// DecodeProgress reads the stored progress of a job.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, Error.Wrap(err)
	}
	return p, nil
}
