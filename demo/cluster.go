package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"fulmarrun"
	"fulmarrun/config"
	"fulmarrun/operator"
	"fulmarrun/platformstub"
	"fulmarrun/storage"
	"fulmarrun/targetstub"
)

const (
	// drain bounds the graceful stop of a node.
	drain = 10 * time.Second
	// defaultNodes is the number of nodes unless another is asked for.
	defaultNodes = 4
)

// Option configures a Cluster.
type Option func(*Cluster)

// WithNodes is a functional option that sets how many nodes are started.
func WithNodes(n int) Option {
	return func(c *Cluster) { c.count = n }
}

// WithFile is a functional option that sets the configuration applied first.
func WithFile(text []byte) Option {
	return func(c *Cluster) { c.file = text }
}

// WithLogger is a functional option that sets where the nodes log.
func WithLogger(l *log.Logger) Option {
	return func(c *Cluster) { c.log = l }
}

// WithTargetOptions is a functional option that passes options to each stub target.
func WithTargetOptions(opts ...targetstub.Option) Option {
	return func(c *Cluster) { c.target = opts }
}

// WithSettings is a functional option that changes the settings of the node with
// the given index before it starts.
func WithSettings(edit func(node int, s *config.Settings)) Option {
	return func(c *Cluster) { c.edit = edit }
}

// Cluster is a deployment in one process.
type Cluster struct {
	count  int
	file   []byte
	log    *log.Logger
	target []targetstub.Option
	edit   func(int, *config.Settings)

	ctx      context.Context
	cancel   context.CancelFunc
	Platform *platformstub.Stub
	store    netip.AddrPort
	server   *http.Server
	Nodes    []*Node
}

// Node is one router with its target.
type Node struct {
	Settings config.Settings
	Router   *fulmarrun.Router
	Target   *targetstub.Stub

	stopRouter context.CancelFunc
	stopTarget context.CancelFunc
	done       chan struct{}
	err        error
}

// Start starts a deployment and applies its first configuration.
func Start(ctx context.Context, opts ...Option) (*Cluster, error) {
	c := &Cluster{
		count: defaultNodes, file: []byte(ConfigFile), log: log.New(io.Discard),
		edit:     func(int, *config.Settings) {},
		Platform: platformstub.New(),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	if err := c.startPlatform(); err != nil {
		return nil, err
	}
	for range c.count {
		if _, err := c.StartNode(); err != nil {
			c.Stop()
			return nil, err
		}
	}
	if _, err := c.Apply(ctx, c.file, 0); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startPlatform() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("bind platform: %w", err)
	}
	c.store = netip.MustParseAddrPort(l.Addr().String())
	c.server = &http.Server{Handler: c.Platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = c.server.Serve(l) }()
	return nil
}

// StartNode adds one node.
func (c *Cluster) StartNode() (*Node, error) {
	index := len(c.Nodes)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	settings := config.Settings{
		Instance: fmt.Sprintf("agenda-%d", index+1), Service: "agenda", Region: "valle-central",
		Domain: []string{"sanjose", "heredia", "cartago"}[index%3],
		Peer:   loopback, Caller: loopback, Target: loopback, Operator: loopback,
		Platform: c.store, DrainTimeout: drain,
		MaxBody: config.DefaultMaxBody, MaxHeader: config.DefaultMaxHeader,
	}
	c.edit(index, &settings)
	n, err := c.launch(settings)
	if err != nil {
		return nil, err
	}
	c.Nodes = append(c.Nodes, n)
	return n, nil
}

// launch starts a router and its target with the given settings.
func (c *Cluster) launch(settings config.Settings) (*Node, error) {
	router, err := fulmarrun.New(settings, fulmarrun.WithLogger(c.log))
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", settings.Instance, err)
	}
	n := &Node{Settings: router.Settings(), Router: router, done: make(chan struct{})}
	opts := append([]targetstub.Option{
		targetstub.WithName(settings.Instance), targetstub.WithDaemon(n.Settings.Target),
		targetstub.WithInterval(200 * time.Millisecond),
	}, c.target...)
	n.Target = targetstub.NewStub(opts...)
	var routerCtx, targetCtx context.Context
	routerCtx, n.stopRouter = context.WithCancel(c.ctx)
	targetCtx, n.stopTarget = context.WithCancel(context.WithoutCancel(c.ctx))
	go func() { _ = n.Target.Run(targetCtx) }()
	go func() {
		defer close(n.done)
		n.err = router.Run(routerCtx)
	}()
	return n, nil
}

// Leave stops a node gracefully and waits for it.
func (n *Node) Leave() error {
	n.stopRouter()
	<-n.done
	n.stopTarget()
	return n.err
}

// Kill ends a node as a crash would.
func (n *Node) Kill() {
	n.Router.Abort()
	n.stopTarget()
	<-n.done
}

// Stop ends everything at once.
func (c *Cluster) Stop() {
	for _, n := range c.Nodes {
		n.Router.Abort()
		n.stopTarget()
	}
	for _, n := range c.Nodes {
		<-n.done
	}
	c.cancel()
	_ = c.server.Close()
}

// Apply applies a configuration that was made from version base.
func (c *Cluster) Apply(ctx context.Context, text []byte, base uint64) (operator.ApplyReply, error) {
	request := operator.ApplyRequest{Text: text, Base: base, Author: "demo", Change: uuid.NewString()}
	client := operator.NewClient(c.Nodes[0].Settings.Operator)
	var reply operator.ApplyReply
	err := storage.Repeat(ctx, func() (err error) {
		reply, err = client.Apply(ctx, request)
		return err
	})
	if err != nil {
		return reply, fmt.Errorf("apply configuration: %w", err)
	}
	return reply, nil
}
