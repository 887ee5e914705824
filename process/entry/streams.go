package entry

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/request/streams"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"github.com/vanillaroute/vanillaroute/version/rank"
	"go.uber.org/zap"
)

const (
	// streamCollectors is the number of instances that are told the beginning of a stream and asked for it first. askedCollectors are asked if none of
	// these answers: some may have left, and others may rank higher now. Only collectorPool instances collect streams, so that the store gets few writes.
	streamCollectors = 2
	askedCollectors  = 4
	collectorPool    = 6
	// maxAsks is how often collectors are asked. askPause is the first pause between two asks; it doubles, as collectors may have just started.
	maxAsks  = 3
	askPause = 40 * time.Millisecond
	// streamLife is the age up to which streams are told when a second version appears, and streamTTL how long the store keeps their beginnings.
	streamLife = 30 * time.Second
	streamTTL  = 45 * time.Second
	// streamLeaseAge is the age up to which a lease is used for further beginnings, so that most writes take one call.
	streamLeaseAge = streamTTL - streamLife
	// storeStreamsPause is the pause between two writes of beginnings. Those since the last write are lost with all instances.
	storeStreamsPause = 250 * time.Millisecond
	// maxStreamsWait is how long a request waits until an instance that has started has read the streams in the store.
	maxStreamsWait = 500 * time.Millisecond
	// versionsCheckPeriod is how often an instance checks which services have several versions. Each instance waits versionsTurn longer than the one ranked
	// before it until it stores one.
	versionsCheckPeriod = 100 * time.Millisecond
	versionsTurn        = 200 * time.Millisecond
	// versionsAge is the age at which the entry of a service that has several versions is stored again.
	versionsAge = streams.Retention / 2
	// valueSeveral is the value of these entries.
	valueSeveral = "several"
	// poolKey ranks the instances that collect streams.
	poolKey = "streams"
)

// streamLease is a lease for beginnings of streams.
type streamLease struct {
	id        string
	grantedAt boottime.Instant
}

// severalSince is what an instance knows of a service with several versions.
type severalSince struct {
	// dueAt is when the entry of the service is to be stored, and revision its last known change.
	dueAt    time.Time
	revision ident.Revision
}

// AreSeveral implements forward.StreamVersions.
func (n *Instance) AreSeveral(s ident.Service) bool { return n.versions.AreSeveral(s, boottime.Now()) }

// Began implements forward.StreamVersions. Collectors are told before the first event is passed on if the service has several versions.
func (n *Instance) Began(s ident.Service, org ident.Organisation, r ident.Request, v engines.Version) {
	b := streams.Beginning{ID: streams.NewID(s, org, r), Version: v}
	n.streams.RecordOwn(b, time.Now())
	if n.AreSeveral(s) {
		n.tellStreams([]streams.Beginning{b})
	}
}

// VersionOf implements forward.StreamVersions. It asks the collectors if this instance does not know the stream.
func (n *Instance) VersionOf(ctx context.Context, s ident.Service, org ident.Organisation, r ident.Request) (engines.Version, bool) {
	id := streams.NewID(s, org, r)
	if v, ok := n.streams.VersionOf(id); ok || r == "" || !n.AreSeveral(s) {
		return v, ok
	}
	recorded, end := n.streams.Await(id)
	defer end()
	deadline := time.After(maxStreamsWait)
	var read <-chan struct{}
	if n.maySoonCollect() {
		read = n.streamsRead
	}
	body := heartbeat.StreamMessage{Asked: []streams.ID{id}}.Encode()
	for asks := 0; asks < maxAsks || read != nil; asks++ {
		if asks < maxAsks {
			count := askedCollectors
			if asks == 0 {
				count = streamCollectors
			}
			for _, peer := range n.collectors(id, count) {
				if peer != n.self {
					n.sendWhole(peer, body, budget.Streams)
				}
			}
		}
		select {
		case <-recorded:
			return n.streams.VersionOf(id)
		case <-read:
			read = nil
		case <-time.After(askPause << min(asks, maxAsks-1)):
		case <-deadline:
			return n.streams.VersionOf(id)
		case <-ctx.Done():
			return "", false
		}
	}
	return n.streams.VersionOf(id)
}

// handleStreams records the beginnings that another instance tells, and answers what it asks.
func (n *Instance) handleStreams(from string, m heartbeat.StreamMessage) {
	now := time.Now()
	for _, b := range m.Told {
		n.streams.Record(streams.Beginning(b), now)
		n.unstored.Add(streams.Beginning(b))
	}
	for _, b := range m.Answered {
		n.streams.Record(streams.Beginning(b), now)
	}
	var known []streams.Beginning
	for _, id := range m.Asked {
		if v, ok := n.streams.VersionOf(id); ok {
			known = append(known, streams.Beginning{ID: id, Version: v})
		}
	}
	for _, list := range heartbeat.SplitBeginnings(known) {
		n.sendWhole(from, heartbeat.StreamMessage{Answered: list}.Encode(), budget.Streams)
	}
}

// tellStreams tells beginnings to their collectors.
func (n *Instance) tellStreams(list []streams.Beginning) {
	byCollector := make(map[string][]streams.Beginning)
	for _, b := range list {
		for _, peer := range n.collectors(b.ID, streamCollectors) {
			byCollector[peer] = append(byCollector[peer], b)
		}
	}
	for peer, some := range byCollector {
		if peer == n.self {
			n.unstored.Add(some...)
			continue
		}
		for _, told := range heartbeat.SplitBeginnings(some) {
			n.sendWhole(peer, heartbeat.StreamMessage{Told: told}.Encode(), budget.Streams)
		}
	}
}

// collectors returns the peer addresses of the instances, this one included, that collect a stream, the first ones first.
func (n *Instance) collectors(id streams.ID, count int) []string {
	pool := n.rankedFor(poolKey)
	pool = pool[:min(len(pool), collectorPool)]
	candidates := rank.EqualWeights(pool, func(peer string) string { return peer })
	var peers []string
	for _, i := range rank.Order(strconv.FormatUint(uint64(id), 16), candidates, count) {
		peers = append(peers, pool[i])
	}
	return peers
}

// maySoonCollect reports whether this instance collects streams or may do so when others have left. In a large fleet, the others would need the bandwidth of
// their links to read what all streams began at.
func (n *Instance) maySoonCollect() bool {
	if _, _, loaded := n.mirror.State(); !loaded {
		return false
	}
	if slices.Index(n.rankedFor(poolKey), n.self) >= collectorPool {
		return false
	}
	n.snapshotMu.Lock()
	peers := append(slices.Collect(maps.Values(n.registered)), n.self)
	n.snapshotMu.Unlock()
	// An instance that has just started does not know yet which of the registered ones are alive.
	candidates := rank.EqualWeights(peers, func(peer string) string { return peer })
	position := slices.IndexFunc(rank.Order(poolKey, candidates, len(peers)), func(i int) bool { return peers[i] == n.self })
	loadedFor := boottime.Now().Sub(boottime.Instant(n.loadedAt.Load()))
	return position < 2*collectorPool || loadedFor >= newestDelay
}

// storeStreams writes the beginnings that this instance collects to the store, so that they are known after all instances have ended, until ctx ends.
func (n *Instance) storeStreams(ctx context.Context) error {
	batch := 0
	var lease streamLease
	for pause.For(ctx, storeStreamsPause) {
		for _, list := range heartbeat.SplitBeginnings(n.unstored.Take()) {
			key := n.platform.Keys.Streams + n.settings.Load().Instance.Name + "/" + strconv.FormatUint(uint64(n.incarnation), 36) + "-" + strconv.Itoa(batch)
			batch++
			if err := n.storeBatch(ctx, key, heartbeat.EncodeBeginnings(list), &lease); err != nil {
				n.metrics.Add("streamsNotStored", int64(len(list)))
				n.log.Warn("beginnings of streams not stored", zap.Int("count", len(list)), zap.Error(err))
			}
		}
	}
	return ctx.Err()
}

// storeBatch stores beginnings under a lease, and under a new one if it is old. After a failure it clears the lease.
func (n *Instance) storeBatch(ctx context.Context, key string, value []byte, lease *streamLease) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := boottime.Now()
	if lease.id != "" && now.Sub(lease.grantedAt) < streamLeaseAge {
		err := n.platform.Store.PutUnderLease(ctx, key, value, lease.id)
		if err != nil {
			*lease = streamLease{}
		}
		return err
	}
	granted, err := n.platform.Store.PutWithLease(ctx, key, value, AnyRevision, streamTTL)
	*lease = streamLease{id: granted.ID, grantedAt: now}
	return err
}

// readStreams records the beginnings in the store.
func (n *Instance) readStreams(ctx context.Context) error {
	began, count := boottime.Now(), 0
	for after := ""; ; {
		page, err := n.readStreamsPage(ctx, after)
		if err != nil {
			return err
		}
		now := time.Now()
		for _, e := range page.Entries {
			list, err := heartbeat.DecodeBeginnings(e.Value)
			if err != nil {
				n.logInvalidEntry(e, err)
			}
			count += len(list)
			for _, b := range list {
				n.streams.Record(streams.Beginning(b), now)
			}
			after = e.Key
		}
		if !page.More {
			// Logged once after a start.
			n.log.Info("beginnings of streams read", zap.Int("count", count), zap.Duration("tookMs", boottime.Now().Sub(began)))
			return nil
		}
	}
}

func (n *Instance) readStreamsPage(ctx context.Context, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return n.platform.Store.Read(ctx, n.platform.Keys.Streams, after)
}

// withoutStreams returns the entries that are not beginnings of streams. The replica does not have these, as they change many times a second.
func (n *Instance) withoutStreams(list []mirror.Entry) []mirror.Entry {
	if n.platform.Keys.Streams == "" {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(e mirror.Entry) bool { return strings.HasPrefix(e.Key, n.platform.Keys.Streams) })
}

// storeVersions writes the services that have or lately had several versions to the store, so that instances that start later know it, until ctx ends. When
// a second version appears, it tells the collectors which of its own streams may be in progress.
func (n *Instance) storeVersions(ctx context.Context) error {
	known := make(map[ident.Service]severalSince)
	read := false
	var readAt time.Time
	for pause.For(ctx, versionsCheckPeriod) {
		now := time.Now()
		if !read && !now.Before(readAt) && n.versions.AnySeveral(boottime.Now()) && n.maySoonCollect() {
			if err := n.readStreams(ctx); err != nil {
				n.log.Warn("beginnings of streams not read", zap.Error(err))
				readAt = now.Add(maxRetryDelay)
			} else {
				read = true
				close(n.streamsRead)
			}
		}
		several := n.versions.Several(boottime.Now())
		for service := range known {
			if !slices.Contains(several, service) {
				delete(known, service)
			}
		}
		for _, service := range several {
			k, ok := known[service]
			if !ok {
				k.dueAt = now
				n.tellStreams(n.streams.OwnSince(now.Add(-streamLife)))
				n.log.Info("several versions", zap.String("service", string(service)))
			}
			known[service] = n.storeService(ctx, service, k, now)
		}
	}
	return ctx.Err()
}

// storeService stores that a service has several versions, if that is due and the turn of this instance.
func (n *Instance) storeService(ctx context.Context, s ident.Service, k severalSince, now time.Time) severalSince {
	key := n.platform.Keys.Versions + string(s)
	if e, ok := n.mirror.Get(key); ok && e.Revision != k.revision {
		k.revision, k.dueAt = e.Revision, now.Add(versionsAge)
	}
	turn := time.Duration(slices.Index(n.rankedFor(key), n.self)) * versionsTurn
	if n.platform.Keys.Versions == "" || now.Sub(k.dueAt) < turn {
		return k
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.dueAt = now.Add(maxRetryDelay)
	if _, err := n.platform.Store.PutWithLease(ctx, key, []byte(valueSeveral), n.lastChange(key), streams.Retention); err != nil {
		n.log.Warn("several versions not stored", zap.String("service", string(s)), zap.Error(err))
	}
	return k
}
