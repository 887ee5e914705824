// Package service is a small stand-in for a plain service whose bookings may not repeat.
package service
