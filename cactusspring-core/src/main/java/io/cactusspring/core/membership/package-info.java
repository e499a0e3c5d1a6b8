/**
 * Shard ownership: which entry host may act for a shard, decided from heartbeats and reads of the
 * platform's log.
 */
package io.cactusspring.core.membership;
