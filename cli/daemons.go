package cli

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/operator"
)

// address is an option's value with an IP number and a port.
type address struct {
	netip.AddrPort
}

// UnmarshalFlag parses the value of the option.
func (a *address) UnmarshalFlag(value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		return errors.Errorf("want an IP number and a port, such as 10.0.1.7:7004, got %q", value)
	}
	a.AddrPort = parsed
	return nil
}

// daemonOptions name the daemons that a command may ask.
type daemonOptions struct {
	Daemons []address     `long:"daemon" value-name:"IP:PORT" required:"yes" description:"Operator address of a daemon; give several to have them tried in turn"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"Limit of the whole command"`
}

// attempts returns one client for each daemon, each with its share of the time.
func (o *daemonOptions) attempts() []*operator.Client {
	share := o.Timeout / time.Duration(len(o.Daemons))
	clients := make([]*operator.Client, 0, len(o.Daemons))
	for _, daemon := range o.Daemons {
		clients = append(clients, operator.NewClient(daemon.AddrPort, operator.WithTimeout(share)))
	}
	return clients
}

// ask calls the daemons in turn until one answers for good. The call must not
// change anything.
func ask[T any](ctx context.Context, o *daemonOptions, call func(context.Context, *operator.Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	var reply T
	var err error
	for i, client := range o.attempts() {
		reply, err = call(ctx, client)
		if !errors.Is(err, operator.ErrUnreachable) && !errors.Is(err, operator.ErrUnavailable) {
			break
		}
		err = fmt.Errorf("ask %s: %w", o.Daemons[i], err)
	}
	return reply, err
}
