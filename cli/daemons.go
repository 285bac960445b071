package cli

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/operator"
)

// addressOption is an option value with an IP number and a port.
type addressOption struct {
	netip.AddrPort
}

// UnmarshalFlag parses the value of the option.
func (a *addressOption) UnmarshalFlag(value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		return errors.Errorf("want an IP number and a port, such as 10.0.1.7:7004, got %q", value)
	}
	a.AddrPort = parsed
	return nil
}

// daemonOptions are the options of commands that call one of several daemons.
type daemonOptions struct {
	Daemons []addressOption `long:"daemon" value-name:"IP:PORT" required:"yes" description:"Operator address of a daemon; give several to have them tried in turn"`
	Timeout time.Duration   `long:"timeout" value-name:"DURATION" default:"30s" description:"Limit of the whole command"`
}

// newClients returns one client for each daemon. The time limit of the command is
// divided equally among them.
func (o *daemonOptions) newClients() []*operator.Client {
	timeoutShare := o.Timeout / time.Duration(len(o.Daemons))
	clients := make([]*operator.Client, 0, len(o.Daemons))
	for _, daemon := range o.Daemons {
		clients = append(clients, operator.NewClient(daemon.AddrPort, operator.WithTimeout(timeoutShare)))
	}
	return clients
}

// callAny calls the daemons in turn until one answers and is available. The call
// must be read-only, since it may run at several daemons.
func callAny[T any](ctx context.Context, o *daemonOptions, call func(context.Context, *operator.Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	var reply T
	var err error
	for i, client := range o.newClients() {
		reply, err = call(ctx, client)
		if !errors.Is(err, operator.ErrUnreachable) && !errors.Is(err, operator.ErrUnavailable) {
			break
		}
		err = fmt.Errorf("ask %s: %w", o.Daemons[i], err)
	}
	return reply, err
}
