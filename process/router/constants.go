package router

import "time"

const (
	tickPeriod         = 50 * time.Millisecond
	pollPeriod         = time.Second
	listPeriod         = time.Second
	gossipPeriod       = 250 * time.Millisecond
	gossipFanOut       = 2
	gossipTimeout      = 400 * time.Millisecond
	indirectProbePeers = 2
	entriesFanOut      = 3
	maxSuspects        = 8
	mismatchDelay      = time.Second
	pullTimeout        = 2 * time.Second
	watcherLease       = 6 * time.Second
	watcherRenewal     = 2 * time.Second
	watchersPerDomain  = 2
	startRetryInterval = 200 * time.Millisecond
	bootstrapPeers     = 2
	bucketsPerCall     = 4
	publishTimeout     = time.Second
	publishPeers       = 2
	ledgerRouters      = 6
	callDeadline       = 35 * time.Second
	// encodedLoadBytes is the encoded size of a load without the names of router and model.
	encodedLoadBytes   = 16
	maxServiceAttempts = 3
)
