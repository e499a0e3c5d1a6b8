/** The stand-in for a worker's agent, which runs tasks under leases and records what goes wrong. */
package io.cactusspring.standins.worker;
