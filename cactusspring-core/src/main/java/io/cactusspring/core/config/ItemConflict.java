package io.cactusspring.core.config;

/**
 * An item of a note that another note has changed since the revision on which the note is based.
 *
 * @param item path of the item
 * @param basedOn revision on which the note is based; 0 for an item to be added
 * @param revision revision in force; 0 if the item does not exist
 * @param operator name of the operator's key that made that revision; null if the item does not
 *     exist
 * @param note id of the note that made that revision; null if the item does not exist
 * @since 0.1
 */
public record ItemConflict(
    String item, long basedOn, long revision, String operator, String note) {}
