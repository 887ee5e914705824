// Package suspects counts the engines that crashed while they ran a request, so that no request takes down more than two.
package suspects
