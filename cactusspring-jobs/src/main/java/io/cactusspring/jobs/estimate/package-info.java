/**
 * Learns from ended runs how long tasks take and how fast executors are. The package does no I/O
 * and reads no clock.
 */
package io.cactusspring.jobs.estimate;
