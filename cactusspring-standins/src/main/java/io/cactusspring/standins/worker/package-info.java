/** The stand-in for a worker's agent, which runs tasks under leases and records violations. */
package io.cactusspring.standins.worker;
