/** Replayed state of the cell, its lock, its listeners and the clock. */
package io.cactusspring.daemon.cell;
