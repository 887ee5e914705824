// Package service simulates a service with non-idempotent bookings and an idempotent catalogue.
package service
