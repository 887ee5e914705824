// Package admission decides which requests to plain services are offered to engines while a service has more requests than it can answer in their
// target time. Instances exchange counts of their requests and answers, so that all of them admit the same fraction.
package admission
