package runner

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		Slots:        r.Slots + o.Slots,
		CPUMillis:    r.CPUMillis + o.CPUMillis,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns r without o; values may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		Slots:        r.Slots - o.Slots,
		CPUMillis:    r.CPUMillis - o.CPUMillis,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// FitsIn reports whether r is at most room in every resource.
func (r Resources) FitsIn(room Resources) bool {
	return r.Slots <= room.Slots && r.CPUMillis <= room.CPUMillis &&
		r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}
