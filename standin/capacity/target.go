package capacity

// Target is the size that the fleet must reach.
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

// Budget is what a router may spend on control.
type Budget struct {
	// CPUShare is of one core.
	CPUShare float64
	Memory   float64
	// Sent is in bytes a second.
	Sent float64
}

// StoreLimits is what the platform's key-value service takes in a second.
type StoreLimits struct {
	Writes float64
	Reads  float64
}

const (
	secondsPerDay = 86_400
	megabyte      = 1 << 20
	kilobyte      = 1 << 10
	microsPerCore = 1e6

	renewalSeconds         = 2
	routersPerOrganisation = 4
	watchersPerDomain      = 2
	keepAliveSeconds       = 2
	ledgerRouters          = 6
	ledgerWriteInterval    = 0.025
	ledgerBatchRecords     = 50
	rebuildsPerEvent       = 3
	listPages              = 6
	entryBytes             = 300
	instanceBytes          = 200
	overflowsPerEngine     = 4096
	seriesLimit            = 256
	endedRunBytes          = 32 << 20
)

var (
	// TargetFleet is the size named by the users for two years from now.
	TargetFleet = Target{
		Routers: 940, Engines: 10_000, Accelerators: 80_000, Requests: 130_000, Tokens: 40e6, Chats: 20e6,
		Organisations: 5200, Models: 14, Regions: 7, Domains: 22, ChangesPerDay: 21_000, FailuresPerDay: 72, RestartsPerDay: 3500,
		FirstToken: 1.9, TokenGap: 0.027,
	}

	// ControlBudget is what the users allow a router to spend on control.
	ControlBudget = Budget{CPUShare: 0.02, Memory: 128 * megabyte, Sent: 4 * kilobyte}

	// KeyValueLimits is what the platform's key-value service takes; "several hundred" writes is taken as 300.
	KeyValueLimits = StoreLimits{Writes: 300, Reads: 2000}
)
