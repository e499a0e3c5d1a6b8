/**
 * Simulation of the platform in virtual time, with fault injection: its store, its executors and
 * its advice service.
 */
package io.cactusspring.jobs.simulation;
