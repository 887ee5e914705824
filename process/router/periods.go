package router

import "time"

const (
	tickPeriod       = 50 * time.Millisecond
	pollPeriod       = time.Second
	listPeriod       = time.Second
	gossipPeriod     = 250 * time.Millisecond
	gossipFanOut     = 2
	gossipTimeout    = 400 * time.Millisecond
	probeHelpers     = 2
	rumourFanOut     = 3
	maxSuspects      = 8
	mismatchPatience = time.Second
	pullTimeout      = 2 * time.Second
	watcherLease     = 6 * time.Second
	watcherRenewal   = 2 * time.Second
	watchersOfDomain = 2
	startRetry       = 200 * time.Millisecond
	startPeers       = 2
	bucketsPerAsk    = 4
	publishTimeout   = time.Second
	publishPeers     = 2
	ledgerHomes      = 6
	callDeadline     = 35 * time.Second
	// loadBytes is the encoded size of a load without its names.
	loadBytes    = 16
	serviceTries = 3
)
