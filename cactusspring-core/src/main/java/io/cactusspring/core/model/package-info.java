/** Immutable value types of the cell: configuration items, log records, workers, runs and tasks. */
package io.cactusspring.core.model;
