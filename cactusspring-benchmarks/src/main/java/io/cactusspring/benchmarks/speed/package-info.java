/** Time and memory that decisions take, at several sizes of a cell. */
package io.cactusspring.benchmarks.speed;
