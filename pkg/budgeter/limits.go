package budgeter

import "math"

const (
	// ConnectionBytes is what an open connection holds without a request: stacks, buffers and
	// the state of the server.
	ConnectionBytes = 16 << 10
	// RequestBytes is what a request under way holds beside its body: its decoded header, its
	// answer and a call to the store.
	RequestBytes = 16 << 10
	// FieldBytes is what a field of a decoded header holds beside its text.
	FieldBytes = 192
	// HeaderCost is what a byte of a header becomes at most when it is decoded.
	HeaderCost = 24

	// ReceiveBuffer is the size of a connection's receive buffer. The kernel takes up to twice as
	// much; a body of 256 KiB takes some ten round trips.
	ReceiveBuffer = 32 << 10

	// requestPart, connectionPart and workPart are the parts of a VM's memory for requests, for
	// connections without one, and for the accepted work of a cell: one of each. The collector may
	// need as much again.
	requestPart    = 8
	connectionPart = 16
	workPart       = 8
	// filePart is the part of the descriptors for callers: a request may need a second one for
	// its call to the store, and the owner of a cell needs the rest for its targets.
	filePart = 3
	// reservedFiles is the number of descriptors of a VM that are not for sockets.
	reservedFiles = 200
	// unknownMemory and unknownFiles hold where the settings state no limit.
	unknownMemory = 1 << 30
	unknownFiles  = 4096

	// operatorConnections allows for some hundred watches, operatorBodies for one body as it is read
	// beside what is kept for small requests.
	operatorConnections = 512
	operatorBodies      = 8

	serviceConnections = 32
	serviceBytes       = 2 << 20
)

// Limits are the limits of a process.
type Limits struct {
	MemoryBytes int64 // zero: unknown
	Files       int64 // descriptors; zero: unknown
}

// known returns the limits with defaults for those that are unknown.
func (l Limits) known() Limits {
	if l.MemoryBytes <= 0 {
		l.MemoryBytes = unknownMemory
	}
	if l.Files <= 0 {
		l.Files = unknownFiles
	}
	return l
}

// CollectorBytes returns the memory limit for Go's collector. The program's own pages come on top;
// half of the VM's memory is left for the kernel's buffers and for other processes.
func (l Limits) CollectorBytes() int64 {
	const collectorShare = 0.375
	return int64(collectorShare * float64(l.known().MemoryBytes))
}

// Callers returns the budget for the callers of a process with the limits.
func (l Limits) Callers() Config {
	l = l.known()
	return Config{
		Bytes:       l.MemoryBytes / requestPart,
		Connections: int(max(1, min((l.Files-reservedFiles)/filePart, l.MemoryBytes/connectionPart/ConnectionBytes, math.MaxInt32))),
	}
}

// WorkBytes returns the memory that the owner of a cell may need for accepted work.
func (l Limits) WorkBytes() int64 { return l.known().MemoryBytes / workPart }

// Operators returns the budget for a listener that operators use, whose bodies have a limit. It has
// half of what callers have, and room for the largest body as it is read.
func (l Limits) Operators(maxBodyBytes int64) Config {
	cfg := l.Callers()
	return Config{
		Bytes:       max(cfg.Bytes/2, maxBodyBytes*operatorBodies),
		Connections: max(1, min(cfg.Connections/2, operatorConnections)),
	}
}

// Neighbors returns the budget for the listener at which other daemons hand over calls: half of the
// bytes and a quarter of the connections that callers have.
func (l Limits) Neighbors() Config {
	cfg := l.Callers()
	return Config{
		Bytes:       max(cfg.Bytes/2, serviceBytes),
		Connections: max(cfg.Connections/4, serviceConnections),
	}
}

// Service returns the budget for a listener that only the platform and its operators use, such as
// readiness and metrics. It is apart from that for callers, so that neither takes the other's room.
func Service() Config {
	return Config{
		Bytes:       serviceBytes,
		Connections: serviceConnections,
	}
}
