/**
 * Cost of each role at several sizes, with the fitted lines, and what they come to at the sizes of
 * the target.
 */
package io.cactusspring.benchmarks.slopes;
