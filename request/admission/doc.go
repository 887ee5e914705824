// Package admission decides which requests are offered to engines while a service has more requests than it can answer in their target time: those to plain
// services by their number, or all by the engine time that they take. It also tells engines the order of requests.
// Instances exchange counts of their requests and answers, so that all of them admit the same fraction.
package admission
