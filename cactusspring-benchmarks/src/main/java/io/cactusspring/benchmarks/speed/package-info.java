/** Wall-clock time of placement decisions at several cell sizes. */
package io.cactusspring.benchmarks.speed;
