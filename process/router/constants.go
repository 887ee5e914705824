package router

import "time"

const (
	// minConnections is the smallest number of callers' connections.
	minConnections = 16
	// tickPeriod is the time between two runs of the periodic tasks.
	tickPeriod = 50 * time.Millisecond
	// pollPeriod is the time between two polls of the engines.
	pollPeriod = time.Second
	// listPeriod is the time between two reads of the instance list.
	listPeriod = time.Second

	gossipPeriod = 250 * time.Millisecond
	// gossipFanOut is the number of peers that get a heartbeat per gossipPeriod.
	gossipFanOut  = 2
	gossipTimeout = 400 * time.Millisecond
	// indirectProbePeers is the number of peers that probe a router that did not answer.
	indirectProbePeers = 2
	// entriesFanOut is the number of peers that get new configuration entries immediately.
	entriesFanOut = 3
	// maxSuspects is the maximum number of suspect requests in a heartbeat.
	maxSuspects = 8

	// mismatchDelay is how long configurations must differ before entries are pulled.
	mismatchDelay = time.Second
	pullTimeout   = 2 * time.Second
	watcherLease  = 6 * time.Second
	// watcherRenewal is the time between two renewals of a watcher lease, or between two attempts to acquire it.
	watcherRenewal     = 2 * time.Second
	watchersPerDomain  = 2
	startRetryInterval = 200 * time.Millisecond
	// bootstrapPeers is the number of peers that must answer for each bucket if the store is down at start.
	bootstrapPeers = 2
	// bucketsPerCall is the number of configuration buckets that one call to a peer reads at start.
	bucketsPerCall = 4
	publishTimeout = time.Second
	// publishPeers is the number of other failure domains that get committed entries directly.
	publishPeers = 2

	// ledgerRouters is the number of routers that share the records of idempotency keys.
	ledgerRouters = 6
	// callDeadline is the time limit of a non-idempotent call, including the attempts at other routers.
	callDeadline       = 35 * time.Second
	maxServiceAttempts = 3
)
