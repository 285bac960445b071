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
	// drainTimeout is the time limit of the graceful stop of a node.
	drainTimeout = 10 * time.Second
	// defaultNodes is the number of nodes without WithNodes.
	defaultNodes = 4
)

// Option configures a Cluster.
type Option func(*Cluster)

// WithNodes is a functional option that sets the number of nodes to start.
func WithNodes(n int) Option {
	return func(c *Cluster) { c.nodeCount = n }
}

// WithFile is a functional option that sets the text of the first configuration.
func WithFile(text []byte) Option {
	return func(c *Cluster) { c.configFile = text }
}

// WithLogger is a functional option that sets the logger of the nodes.
func WithLogger(l *log.Logger) Option {
	return func(c *Cluster) { c.log = l }
}

// WithTargetOptions is a functional option that passes options to each stub target.
func WithTargetOptions(opts ...targetstub.Option) Option {
	return func(c *Cluster) { c.targetOptions = opts }
}

// WithSettings is a functional option that changes the settings of the node with
// the given index before it starts.
func WithSettings(editSettings func(node int, s *config.Settings)) Option {
	return func(c *Cluster) { c.editSettings = editSettings }
}

// Cluster is a deployment of several nodes in one process.
type Cluster struct {
	nodeCount     int
	configFile    []byte
	log           *log.Logger
	targetOptions []targetstub.Option
	editSettings  func(int, *config.Settings)

	ctx          context.Context
	cancel       context.CancelFunc
	Platform     *platformstub.Stub
	platformAddr netip.AddrPort
	server       *http.Server
	Nodes        []*Node
}

// Node is a router with its stub target.
type Node struct {
	Settings config.Settings
	Router   *fulmarrun.Router
	Target   *targetstub.Stub

	stopRouter context.CancelFunc
	stopTarget context.CancelFunc
	done       chan struct{}
	err        error
}

// Start starts the platform stub and the nodes, and applies the first
// configuration.
func Start(ctx context.Context, opts ...Option) (*Cluster, error) {
	c := &Cluster{
		nodeCount: defaultNodes, configFile: []byte(ConfigFile), log: log.New(io.Discard),
		editSettings: func(int, *config.Settings) {},
		Platform:     platformstub.New(),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	if err := c.startPlatform(); err != nil {
		return nil, err
	}
	for range c.nodeCount {
		if _, err := c.StartNode(); err != nil {
			c.Stop()
			return nil, err
		}
	}
	if _, err := c.Apply(ctx, c.configFile, 0); err != nil {
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
	c.platformAddr = netip.MustParseAddrPort(l.Addr().String())
	c.server = &http.Server{Handler: c.Platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = c.server.Serve(l) }()
	return nil
}

// StartNode starts a node and adds it to the cluster.
func (c *Cluster) StartNode() (*Node, error) {
	index := len(c.Nodes)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	settings := config.Settings{
		Instance: fmt.Sprintf("agenda-%d", index+1), Service: "agenda", Region: "valle-central",
		Domain: []string{"sanjose", "heredia", "cartago"}[index%3],
		Peer:   loopback, Caller: loopback, Target: loopback, Operator: loopback,
		Platform: c.platformAddr, DrainTimeout: drainTimeout,
		MaxBody: config.DefaultMaxBody, MaxHeader: config.DefaultMaxHeader,
	}
	c.editSettings(index, &settings)
	n, err := c.startPair(settings)
	if err != nil {
		return nil, err
	}
	c.Nodes = append(c.Nodes, n)
	return n, nil
}

// startPair starts a router with the given settings, and its stub target.
func (c *Cluster) startPair(settings config.Settings) (*Node, error) {
	router, err := fulmarrun.New(settings, fulmarrun.WithLogger(c.log))
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", settings.Instance, err)
	}
	n := &Node{Settings: router.Settings(), Router: router, done: make(chan struct{})}
	opts := append([]targetstub.Option{
		targetstub.WithName(settings.Instance), targetstub.WithDaemon(n.Settings.Target),
		targetstub.WithInterval(200 * time.Millisecond),
	}, c.targetOptions...)
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

// Leave stops a node gracefully and waits until its router has ended.
func (n *Node) Leave() error {
	n.stopRouter()
	<-n.done
	n.stopTarget()
	return n.err
}

// Kill ends a node without a graceful stop, like a crash.
func (n *Node) Kill() {
	n.Router.Abort()
	n.stopTarget()
	<-n.done
}

// Stop ends all nodes and the platform stub without a graceful stop.
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

// Apply applies a configuration that was made from the configuration with number
// base.
func (c *Cluster) Apply(ctx context.Context, text []byte, base uint64) (operator.ApplyReply, error) {
	request := operator.ApplyRequest{Text: text, Base: base, Author: "demo", Change: uuid.NewString()}
	client := operator.NewClient(c.Nodes[0].Settings.Operator)
	var reply operator.ApplyReply
	err := storage.Retry(ctx, func() (err error) {
		reply, err = client.Apply(ctx, request)
		return err
	})
	if err != nil {
		return reply, fmt.Errorf("apply configuration: %w", err)
	}
	return reply, nil
}
