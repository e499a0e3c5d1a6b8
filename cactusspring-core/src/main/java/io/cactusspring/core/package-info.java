/**
 * Model and decisions of the scheduler; no class here does I/O, starts threads or reads a clock.
 */
package io.cactusspring.core;
