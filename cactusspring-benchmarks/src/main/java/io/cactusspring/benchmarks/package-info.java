/** Measurements of the decision code, printed as tables and written as CSV. */
package io.cactusspring.benchmarks;
