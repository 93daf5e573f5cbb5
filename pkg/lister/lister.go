// Package lister reads the platform's list of VMs and asks the platform to
// reboot them. The list lags behind the actual state.
package lister

import (
	"context"
	"errors"
	"net"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("lister")

var (
	// ErrUnavailable means that no valid answer came from the platform; repeating the call is safe.
	ErrUnavailable = errors.New("service unavailable")
	// ErrUnknownVM means that the platform has no VM of this name.
	ErrUnknownVM = errors.New("unknown VM")
	// ErrOperationReused means that the operation id belongs to the reboot of another VM.
	ErrOperationReused = errors.New("operation id used for another VM")
	// ErrInvalid means that the VM name or the operation id is empty, or a VM is malformed.
	ErrInvalid = errors.New("invalid value")
)

// State is the state of a VM in the list.
type State string

// The states of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // draining or rebooting
)

// VM is an entry of the list.
type VM struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	Address          string `json:"address"` // host and port of the worker
	State            State  `json:"state"`
	LastReboot       string `json:"operation,omitempty"` // id of the last completed reboot
}

// Lister is the platform's VM list.
//
// Errors wrap the sentinel errors of this package; test them with errors.Is.
type Lister interface {
	// List returns the VMs sorted by name.
	List(ctx context.Context) ([]VM, error)
	// Reboot reboots a VM. Calls that repeat an operation id don't reboot it again.
	Reboot(ctx context.Context, vm, operation string) error
}

// Validate returns an error that wraps ErrInvalid for the first field that is malformed.
func (v VM) Validate() error {
	for _, field := range []struct{ name, value string }{
		{"name", v.Name},
		{"availability zone", v.AvailabilityZone},
		{"rack", v.Rack},
	} {
		if field.value == "" || strings.ContainsAny(field.value, "/ \t\r\n") {
			return Error.New("%w: %s %q must be non-empty without slash or space", ErrInvalid, field.name, field.value)
		}
	}
	host, port, err := net.SplitHostPort(v.Address)
	if err != nil || host == "" || port == "" || strings.ContainsAny(v.Address, "/ \t\r\n") {
		return Error.New("%w: address %q must be host:port", ErrInvalid, v.Address)
	}
	if v.State != StateLive && v.State != StateLeaving {
		return Error.New("%w: state %q must be %s or %s", ErrInvalid, v.State, StateLive, StateLeaving)
	}
	return nil
}

// ParseVM parses "name/zone/rack/host:port" into a VM in StateLive. Errors wrap ErrInvalid.
func ParseVM(s string) (VM, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 4 {
		return VM{}, Error.New("%w: %q must be NAME/ZONE/RACK/HOST:PORT", ErrInvalid, s)
	}
	vm := VM{
		Name:             parts[0],
		AvailabilityZone: parts[1],
		Rack:             parts[2],
		Address:          parts[3],
		State:            StateLive,
	}
	return vm, vm.Validate()
}
