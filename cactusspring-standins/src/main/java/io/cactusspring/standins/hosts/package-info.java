/** The stand-in for the platform's list of live and leaving hosts, which lags. */
package io.cactusspring.standins.hosts;
