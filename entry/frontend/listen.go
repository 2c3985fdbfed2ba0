package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
)

// listenerSet holds one listener for each interface.
type listenerSet struct {
	callers, readiness, directory, peers, admin net.Listener
}

// listen binds all listeners, or none.
func (f *Frontend) listen(ctx context.Context) (listenerSet, error) {
	var set listenerSet
	var failures []error
	addresses := f.settings.Load().Listen
	for _, one := range []struct {
		address string
		into    *net.Listener
	}{
		{addresses.Callers, &set.callers},
		{addresses.Readiness, &set.readiness},
		{addresses.Directory, &set.directory},
		{addresses.Peers, &set.peers},
		{addresses.Admin, &set.admin},
	} {
		listener, err := f.options.Network.Listen(ctx, one.address)
		failures = append(failures, err)
		*one.into = listener
	}
	if err := errors.Join(failures...); err != nil {
		return set, fmt.Errorf("start instance %s: %w", f.settings.Load().VM, err)
	}
	return set, nil
}
