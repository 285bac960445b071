package operator_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"fulmarrun/config"
	"fulmarrun/daemon"
	"fulmarrun/operator"
	"fulmarrun/platformstub"
	"fulmarrun/routes"
	"fulmarrun/storage"
)

const configFile = `{"services":[{"name":"agenda","slots":64,"kinds":[
	{"name":"visit","method":"GET","path":"/visits/{visit}","key":{"path":"visit"},"wait":"1m","repeat":1,"class":"urgent"}]}]}`

// TestAcceptedFileSpreads makes one read of the configuration row fail right
// after a file was accepted. The file must get in force at all daemons nevertheless.
func TestAcceptedFileSpreads(t *testing.T) {
	stub := platformstub.New()
	var failNextRead atomic.Bool
	store := *stub.Store()
	get, transact := store.Get, store.Transact
	store.Get = func(ctx context.Context, key string) (storage.Row, error) {
		if key == routes.ConfigKey && failNextRead.CompareAndSwap(true, false) {
			return storage.Row{}, storage.ErrUnavailable
		}
		return get(ctx, key)
	}
	store.Transact = func(ctx context.Context, tx storage.Transaction) (storage.Result, error) {
		result, err := transact(ctx, tx)
		if tx.Writes[0].Key == routes.ConfigKey && result.Applied {
			failNextRead.Store(true)
		}
		return result, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	clients := make([]*operator.Client, 0, 2)
	for i := range 2 {
		d, err := daemon.New(config.Settings{
			Instance: fmt.Sprint("agenda-", i), Service: "agenda", Region: "valle-central", Domain: fmt.Sprint("domain-", i),
			Peer: loopback, Caller: loopback, Target: loopback, Operator: loopback, DrainTimeout: time.Second,
			MaxBody: config.DefaultMaxBody, MaxHeader: config.DefaultMaxHeader,
		}, &store)
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = d.Run(ctx)
		}()
		defer func() {
			d.Abort()
			<-done
		}()
		clients = append(clients, operator.NewClient(d.Settings().Operator))
	}
	time.Sleep(2 * time.Second)
	if _, err := clients[0].Apply(ctx, operator.ApplyRequest{Text: []byte(configFile), Author: "ana", Change: "change-0001"}); err != nil {
		t.Fatal(err)
	}
	for i, c := range clients {
		end := time.Now().Add(9 * time.Second)
		for {
			if shown, err := c.Show(ctx); err == nil && shown.Number == 1 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("file was accepted, but is not in force at daemon %d", i)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
