/** Placeholder. */
package io.cactusspring.benchmarks;
