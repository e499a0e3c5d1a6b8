/** Where the time of jobs went, read from the logs of entry hosts. */
package io.cactusspring.benchmarks.stages;
