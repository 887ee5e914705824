package capacity

// Target is the target size and load of the fleet. Requests and Tokens are per second; FirstToken and TokenGap are in seconds.
type Target struct {
	Routers        float64
	Engines        float64
	Accelerators   float64
	Requests       float64
	Tokens         float64
	Chats          float64
	Organisations  float64
	Models         float64
	Regions        float64
	Domains        float64
	ChangesPerDay  float64
	FailuresPerDay float64
	RestartsPerDay float64
	FirstToken     float64
	TokenGap       float64
}

// Budget is the limit of the resources that a router may use for control.
type Budget struct {
	// CPUShare is a share of one core.
	CPUShare float64
	// Memory is in bytes.
	Memory float64
	// Sent is in bytes per second.
	Sent float64
}

// StoreLimits are the maximum rates of the platform's key-value service, per second.
type StoreLimits struct {
	Writes float64
	Reads  float64
}

const (
	secondsPerDay = 86_400
	megabyte      = 1 << 20
	kilobyte      = 1 << 10
	microsPerCore = 1e6

	// renewalSeconds is the time between two renewals of a share.
	renewalSeconds         = 2
	routersPerOrganisation = 4
	watchersPerDomain      = 2
	// keepAliveSeconds is the time between two renewals of a watcher's lease.
	keepAliveSeconds           = 2
	ledgerRouters              = 6
	ledgerWriteIntervalSeconds = 0.025
	ledgerBatchRecords         = 50
	// rebuildsPerEvent is the number of changes of the fleet view for one failure, stop or start of an instance.
	rebuildsPerEvent = 3
	// listPages is the number of pages of 1,000 entries in a read of the whole configuration.
	listPages          = 6
	entryBytes         = 300
	instanceBytes      = 200
	overflowsPerEngine = 4096
	// seriesLimit is the number of pairs of organisation and class with a histogram of their own.
	seriesLimit = 256
	// endedRunBytes is the memory for completed answers that are kept for resuming.
	endedRunBytes = 32 << 20
)

var (
	// TargetFleet is the size that the users expect in two years.
	TargetFleet = Target{
		Routers: 940, Engines: 10_000, Accelerators: 80_000, Requests: 130_000, Tokens: 40e6, Chats: 20e6,
		Organisations: 5200, Models: 14, Regions: 7, Domains: 22, ChangesPerDay: 21_000, FailuresPerDay: 72, RestartsPerDay: 3500,
		FirstToken: 1.9, TokenGap: 0.027,
	}

	// ControlBudget is the budget that the users set for control at one router.
	ControlBudget = Budget{CPUShare: 0.02, Memory: 128 * megabyte, Sent: 4 * kilobyte}

	// KeyValueLimits are the limits of the platform's key-value service; "several hundred" writes per second are taken as 300.
	KeyValueLimits = StoreLimits{Writes: 300, Reads: 2000}
)
