/**
 * Placement of runs on the workers of one shard.
 *
 * <p>{@link io.cactusspring.core.placement.Placer} tracks the committed tasks of each worker and
 * the queued runs, and decides which run starts on which worker. It has no clock, threads or I/O;
 * the caller guards it with a lock and passes the current time.
 *
 * @since 0.1
 */
package io.cactusspring.core.placement;
