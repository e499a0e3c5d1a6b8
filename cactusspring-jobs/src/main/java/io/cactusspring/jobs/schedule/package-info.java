/**
 * Decides which tasks to start, stop or throttle on which executors. The package does no I/O and
 * reads no clock.
 */
package io.cactusspring.jobs.schedule;
