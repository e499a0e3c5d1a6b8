/** An emulator of the platform in virtual time: its store, executors and advice, with faults. */
package io.cactusspring.jobs.simulation;
