/**
 * Placement of runs on the workers of one shard.
 *
 * <p>{@link io.cactusspring.core.placement.Placer} holds what is committed on each worker and what
 * waits, and decides what starts where. It has no clock, no thread and no I/O; its caller guards it
 * with a lock and hands the time in.
 *
 * @since 0.1
 */
package io.cactusspring.core.placement;
