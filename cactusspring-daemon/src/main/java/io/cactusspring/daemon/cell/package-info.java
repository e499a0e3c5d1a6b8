/**
 * The replayed state of the cell behind its lock, and what was heard of the cell's surroundings.
 */
package io.cactusspring.daemon.cell;
