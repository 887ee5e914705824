package suspects

import "time"

// incidentSpan is the time within which crashes are one incident: all engines may crash at once, with all the requests that they run.
const incidentSpan = 300 * time.Millisecond

type (
	// Proof is the evidence from which a subject is a culprit. Crashes that another culprit explains do not count.
	Proof struct {
		Crashes int
		// Incidents is the number of incidents to which these crashes must belong.
		Incidents int
	}

	// Policy says which evidence makes the subjects of one kind culprits.
	Policy struct {
		// Unanswered is the proof against a subject that no engine has ever answered, and Answered that against one that engines have answered
		// before, from the crashes since the last answer.
		Unanswered, Answered Proof
		// ObjectionTime is how long a culprit is not refused after enough crashes became known, so that instances that have answers on it can say so.
		ObjectionTime time.Duration
		// Joint says that subjects with the same crashes are one culprit, which a request must have as a whole: requests have several subjects, and
		// the evidence does not tell which of them is the cause.
		Joint bool
		// StoresOnlyRefused says that a culprit is not stored before a request was refused for it.
		StoresOnlyRefused bool
	}
)

// RequestPolicy returns the policy for whole requests, which crash at most two engines unless several run them at the same time. Most of them never
// come again.
func RequestPolicy() Policy {
	return Policy{Unanswered: Proof{Crashes: MaxEngines, Incidents: 1}, Answered: Proof{Crashes: 4, Incidents: 2}, StoresOnlyRefused: true}
}

// PartPolicy returns the policy for parts of prompts. Many sound requests share them.
func PartPolicy() Policy {
	return Policy{Unanswered: Proof{Crashes: 3, Incidents: 2}, Answered: Proof{Crashes: 5, Incidents: 3}, ObjectionTime: 300 * time.Millisecond, Joint: true}
}
