/**
 * Cost of each role at several sizes, the lines fitted to it, and the cost at the target sizes that
 * follows.
 */
package io.cactusspring.benchmarks.slopes;
