package daemon_test

import (
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fulmarrun/budget"
	"fulmarrun/daemon"
)

// exhaustedListener has no descriptor for its first connection.
type exhaustedListener struct {
	net.Listener
	failed bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", unix.EMFILE)}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// TestAcceptWithoutDescriptors checks that a listener outlasts a moment without descriptors, and evicts a
// client that it waits for. The process ended when that happened to the listener for peers.
func TestAcceptWithoutDescriptors(t *testing.T) {
	account := budget.NewAccount()
	evicted := make(chan struct{})
	account.Open(time.Now(), func() { close(evicted) })
	conn, err := daemon.NewClientListener(&exhaustedListener{}, account).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	select {
	case <-evicted:
	default:
		t.Error("no client is evicted")
	}
	if clients := account.Stats().Clients; clients != 1 {
		t.Errorf("%d clients", clients)
	}
}
