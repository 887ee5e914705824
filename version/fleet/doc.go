// Package fleet holds one router's view of routers, engines and services, joined from the platform's lagging list and its own sight.
package fleet
