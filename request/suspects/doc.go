// Package suspects tracks the engines that crashed while they ran a request, so that no request crashes more than two engines.
package suspects
