package journaler

// Stats are the figures of one owned shard.
type Stats struct {
	Shard              int
	Records            map[State]int
	Bytes              int    // upper bound of the document's size, including the bytes reserved for open records
	MaxBytes           int    // new records are refused above it
	WaitingTransitions int    // transitions that wait for a commit
	KeysToDelete       int    // keys that wait to be deleted
	Commits            uint64 // commits since the takeover, including it
}

// Stats returns the figures of the shard.
func (s *Shard) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{
		Shard:              s.cfg.Shard,
		Records:            map[State]int{},
		Bytes:              s.doc.MaxEncodedBytes(),
		MaxBytes:           MaxDocumentBytes,
		WaitingTransitions: len(s.starts) + len(s.cancels),
		KeysToDelete:       len(s.garbage),
		Commits:            s.doc.Commit.Seq,
	}
	for _, r := range s.doc.Records {
		stats.Records[r.State]++
	}
	return stats
}

// Stats returns the figures of all shards that have been taken over here.
func (j *Journal) Stats() []Stats {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all []Stats
	for shard := range Shards {
		h := j.holders[shard]
		if h == nil {
			continue
		}
		if t := h.current(); t != nil {
			all = append(all, t.shard.Stats())
		}
	}
	return all
}
