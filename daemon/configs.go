package daemon

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"fulmarrun/config"
	"fulmarrun/control"
	"fulmarrun/logs"
	"fulmarrun/operator"
	"fulmarrun/peer"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// fetchTimeout bounds the fetch of one section from a peer.
	fetchTimeout = time.Second
	// fetchTries is how often a peer is asked that may be loading the section
	// itself, before the platform is.
	fetchTries = 5
	// fetchPause is the time between two of these.
	fetchPause = 100 * time.Millisecond
)

// configs holds the sections of the configuration in force and fetches those of
// the next.
type configs struct {
	store *storage.Store
	peers *peer.Client

	mu       sync.Mutex
	sections map[string][]byte
	current  wire.CurrentConfig
	text     []byte
}

func newConfigs(store *storage.Store, peers *peer.Client) *configs {
	return &configs{store: store, peers: peers, sections: make(map[string][]byte)}
}

// section returns a section that is held here, or nil.
func (c *configs) section(digest string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sections[digest]
}

// shown returns the configuration in force as it was applied.
func (c *configs) shown() (wire.CurrentConfig, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.text
}

// load returns the text of a configuration, from here, the peer or the platform.
// Sections are kept only once all are known to be right.
func (c *configs) load(ctx context.Context, current wire.CurrentConfig, from netip.AddrPort) ([]byte, error) {
	got := make(map[string][]byte, len(current.SectionDigests))
	text, err := operator.Assemble(current, func(digest string) ([]byte, error) {
		data, err := c.get(ctx, digest, from)
		got[digest] = data
		return data, err
	})
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	for digest, data := range got {
		c.keep(digest, data)
	}
	return text, nil
}

// get returns one section.
func (c *configs) get(ctx context.Context, digest string, from netip.AddrPort) ([]byte, error) {
	if data := c.section(digest); data != nil {
		return data, nil
	}
	if data := c.fetch(ctx, digest, from); data != nil {
		return data, nil
	}
	data, err := c.store.GetObject(ctx, operator.ObjectName(digest))
	if err != nil {
		return nil, fmt.Errorf("get section: %w", err)
	}
	return data, nil
}

// fetch asks the peer that the news came from, so that the platform is not read
// once for each daemon.
func (c *configs) fetch(ctx context.Context, digest string, from netip.AddrPort) []byte {
	if !from.IsValid() {
		return nil
	}
	for range fetchTries {
		data, err := c.fetchOnce(ctx, digest, from)
		if err != nil || data != nil {
			return data
		}
		if storage.Sleep(ctx, fetchPause) != nil {
			return nil
		}
	}
	return nil
}

// fetchOnce returns nil if the peer does not hold the section.
func (c *configs) fetchOnce(ctx context.Context, digest string, from netip.AddrPort) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	object, err := peer.Call[wire.Object](ctx, c.peers, from, peer.KindFetch, &wire.FetchObject{Digest: digest})
	if err != nil {
		return nil, fmt.Errorf("fetch section: %w", err)
	}
	if operator.Digest(object.Data) != digest {
		return nil, nil
	}
	return object.Data, nil
}

func (c *configs) keep(digest string, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sections[digest] = data
}

// enforce notes the configuration in force and drops the sections of others.
func (c *configs) enforce(current wire.CurrentConfig, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.text = current, text
	kept := make(map[string][]byte, len(current.SectionDigests))
	for _, digest := range current.SectionDigests {
		if data, ok := c.sections[digest]; ok {
			kept[digest] = data
		}
	}
	c.sections = kept
}

// configMessage brings a loaded configuration to the control goroutine.
type configMessage struct {
	control.ConfigLoaded
	table   *config.Table
	current wire.CurrentConfig
	text    []byte
}

// loadConfig fetches a configuration, for as long as no newer one is wanted.
func (i *incarnation) loadConfig(ctx context.Context, e control.LoadConfig) {
	backoff := storage.NewBackoff()
	for {
		m, err := i.readConfig(ctx, e)
		if err == nil {
			i.post(ctx, m)
			return
		}
		i.d.log.Warn(logs.EventConfigMissed, logs.FieldNumber, e.CurrentConfig.Number, logs.FieldErr, err)
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

func (i *incarnation) readConfig(ctx context.Context, e control.LoadConfig) (configMessage, error) {
	text, err := i.d.configs.load(ctx, e.CurrentConfig, e.From)
	if err != nil {
		return configMessage{}, err
	}
	file, err := config.Parse("configuration", text)
	if err != nil {
		return configMessage{}, fmt.Errorf("configuration %d: %w", e.CurrentConfig.Number, err)
	}
	table := config.NewTable(file, e.CurrentConfig.Number)
	return configMessage{
		ConfigLoaded: shapeOf(file, table), table: table, current: e.CurrentConfig, text: text,
	}, nil
}

// shapeOf returns what planning needs to know of a configuration.
func shapeOf(file *config.File, table *config.Table) control.ConfigLoaded {
	out := control.ConfigLoaded{Number: table.Number(), Out: file.Out}
	for _, s := range table.Services() {
		if s.Keyed() {
			out.Services = append(out.Services, control.ServiceLayout{Name: s.Name, Slots: uint32(s.Slots), Ranged: s.Ranged})
		}
	}
	out.Serves = func(service, domain, instance string) bool {
		s, ok := table.Service(service)
		if !ok {
			return false
		}
		for k := range s.Kinds {
			if s.Kinds[k].Keyed() && !s.Kinds[k].Serves(domain, instance) {
				return false
			}
		}
		return true
	}
	return out
}

// applyService applies what the configuration says of the own service's request
// IDs and target.
func (i *incarnation) applyService() {
	table := i.d.table.Load()
	if table == nil {
		return
	}
	if s, ok := table.Service(i.self.Service); ok {
		i.ledger.Configure(s.Retain, s.Skew)
		i.d.gate.SetCeiling(s.Ceiling)
	}
}

// configure puts a configuration in force here, never one with a lower number.
func (i *incarnation) configure(m configMessage) {
	if old := i.d.table.Load(); old != nil && old.Number() >= m.Number {
		return
	}
	i.d.useTable(m.table)
	i.d.configs.enforce(m.current, m.text)
	i.applyService()
	i.d.log.Info(logs.EventConfigForce, logs.FieldNumber, m.Number, logs.FieldAuthor, m.current.Author)
}
