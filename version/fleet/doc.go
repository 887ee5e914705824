// Package fleet holds one router's view of routers, engines and services. It joins the platform's list, which lags, with heartbeats of
// the routers and with the state of engines that their home routers report.
package fleet
