package io.cactusspring.core.config;

/**
 * An item of a note that another note has changed since the operator saw it.
 *
 * @param item path of the item
 * @param basedOn revision that the operator saw; 0 for an item to be added
 * @param revision revision in force; 0 if the item is not there
 * @param operator who made that revision; null if the item is not there
 * @param note the note that made that revision; null if the item is not there
 * @since 0.1
 */
public record ItemConflict(
    String item, long basedOn, long revision, String operator, String note) {}
