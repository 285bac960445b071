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
	// sectionFetchTimeout bounds the fetch of one section from a peer.
	sectionFetchTimeout = time.Second
	// maxSectionFetches is how often a peer, which may itself still be loading the
	// section, is asked before the platform is.
	maxSectionFetches = 5
	// sectionFetchDelay is the time between two attempts to fetch a section from a peer.
	sectionFetchDelay = 100 * time.Millisecond
)

// configCache holds the sections of the configuration in force and fetches the sections
// of the next one.
type configCache struct {
	store *storage.Store
	peers *peer.Client

	mu sync.Mutex
	// sections are the cached sections by digest.
	sections map[string][]byte
	// current and text are the configuration in force.
	current wire.CurrentConfig
	text    []byte
}

func newConfigCache(store *storage.Store, peers *peer.Client) *configCache {
	return &configCache{store: store, peers: peers, sections: make(map[string][]byte)}
}

// section returns a cached section, or nil.
func (c *configCache) section(digest string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sections[digest]
}

// inForce returns the configuration in force and its text as it was applied.
func (c *configCache) inForce() (wire.CurrentConfig, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.text
}

// load returns the text of a configuration, with sections from the cache, the peer or
// the platform. It caches the sections only after all of them have been verified.
func (c *configCache) load(ctx context.Context, current wire.CurrentConfig, from netip.AddrPort) ([]byte, error) {
	fetchedSections := make(map[string][]byte, len(current.SectionDigests))
	text, err := operator.Assemble(current, func(digest string) ([]byte, error) {
		data, err := c.getSection(ctx, digest, from)
		fetchedSections[digest] = data
		return data, err
	})
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	for digest, data := range fetchedSections {
		c.addSection(digest, data)
	}
	return text, nil
}

// getSection returns one section from the cache, the peer or the platform.
func (c *configCache) getSection(ctx context.Context, digest string, from netip.AddrPort) ([]byte, error) {
	if data := c.section(digest); data != nil {
		return data, nil
	}
	if data := c.fetchFromPeer(ctx, digest, from); data != nil {
		return data, nil
	}
	data, err := c.store.GetObject(ctx, operator.ObjectName(digest))
	if err != nil {
		return nil, fmt.Errorf("get section from platform: %w", err)
	}
	return data, nil
}

// fetchFromPeer fetches a section from the peer that announced the configuration, so
// that not every daemon reads the platform. It returns nil if the peer can't provide
// it.
func (c *configCache) fetchFromPeer(ctx context.Context, digest string, from netip.AddrPort) []byte {
	if !from.IsValid() {
		return nil
	}
	for range maxSectionFetches {
		data, err := c.fetchOnce(ctx, digest, from)
		if err != nil || data != nil {
			return data
		}
		if storage.Sleep(ctx, sectionFetchDelay) != nil {
			return nil
		}
	}
	return nil
}

// fetchOnce returns nil if the peer does not have the section.
func (c *configCache) fetchOnce(ctx context.Context, digest string, from netip.AddrPort) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, sectionFetchTimeout)
	defer cancel()
	object, err := peer.Call[wire.Object](ctx, c.peers, from, peer.KindFetch, &wire.FetchObject{Digest: digest})
	if err != nil {
		return nil, fmt.Errorf("fetch section from peer: %w", err)
	}
	if operator.Digest(object.Data) != digest {
		return nil, nil
	}
	return object.Data, nil
}

func (c *configCache) addSection(digest string, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sections[digest] = data
}

// setInForce records the configuration in force and drops the sections of other
// configurations.
func (c *configCache) setInForce(current wire.CurrentConfig, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.text = current, text
	inUse := make(map[string][]byte, len(current.SectionDigests))
	for _, digest := range current.SectionDigests {
		if data, ok := c.sections[digest]; ok {
			inUse[digest] = data
		}
	}
	c.sections = inUse
}

// configMessage passes a loaded configuration to the control goroutine.
type configMessage struct {
	control.ConfigLoaded
	table   *config.Table
	current wire.CurrentConfig
	text    []byte
}

// loadConfig loads a configuration and retries until it succeeds or ctx ends.
func (i *incarnation) loadConfig(ctx context.Context, e control.LoadConfig) {
	backoff := storage.NewBackoff()
	for {
		m, err := i.readConfig(ctx, e)
		if err == nil {
			i.post(ctx, m)
			return
		}
		i.d.log.Warn(logs.EventConfigNotLoaded, logs.FieldNumber, e.CurrentConfig.Number, logs.FieldErr, err)
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

func (i *incarnation) readConfig(ctx context.Context, e control.LoadConfig) (configMessage, error) {
	text, err := i.d.configCache.load(ctx, e.CurrentConfig, e.From)
	if err != nil {
		return configMessage{}, err
	}
	file, err := config.Parse("configuration", text)
	if err != nil {
		return configMessage{}, fmt.Errorf("parse configuration %d: %w", e.CurrentConfig.Number, err)
	}
	table := config.NewTable(file, e.CurrentConfig.Number)
	return configMessage{
		ConfigLoaded: planningData(file, table, wire.ConfigNumber{File: table.Number()}), table: table, current: e.CurrentConfig, text: text,
	}, nil
}

// planningData returns the parts of a configuration that slot planning needs.
func planningData(file *config.File, table *config.Table, number wire.ConfigNumber) control.ConfigLoaded {
	loaded := control.ConfigLoaded{Number: number, Out: file.Out}
	for _, s := range table.Services() {
		if s.Keyed() {
			loaded.Services = append(loaded.Services, control.ServiceLayout{Name: s.Name, Slots: uint32(s.Slots), Ranged: s.Ranged})
		}
	}
	loaded.Serves = func(service, domain, instance string) bool {
		s, ok := table.Service(service)
		if !ok {
			return false
		}
		for k := range s.Kinds {
			if s.Kinds[k].Keyed() && !s.Kinds[k].AllowsTarget(domain, instance) {
				return false
			}
		}
		return true
	}
	return loaded
}

// applyServiceConfig applies the configuration of this daemon's service to the request
// ID ledger and the target's admission.
func (i *incarnation) applyServiceConfig() {
	table := i.d.table.Load()
	if table == nil {
		return
	}
	if s, ok := table.Service(i.self.Service); ok {
		i.ledger.Configure(s.Retain, s.Skew)
		i.d.gate.SetCeiling(s.Ceiling)
	}
}

// activateConfig puts a configuration in force, unless the number of the one in force is
// the same or higher.
func (i *incarnation) activateConfig(m configMessage) {
	if old := i.d.table.Load(); old != nil && old.Number() >= m.Number.File {
		return
	}
	i.d.setTable(m.table)
	i.d.configCache.setInForce(m.current, m.text)
	i.applyServiceConfig()
	i.d.log.Info(logs.EventConfigInForce, logs.FieldNumber, m.Number.File, logs.FieldAuthor, m.current.Author)
}
