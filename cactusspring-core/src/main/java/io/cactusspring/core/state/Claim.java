package io.cactusspring.core.state;

/**
 * The claim in force on a shard.
 *
 * @param owner name of the entry host
 * @param incarnation id of the owner's process start
 * @param epoch offset of the claim's record
 * @since 0.1
 */
public record Claim(String owner, String incarnation, long epoch) {}
