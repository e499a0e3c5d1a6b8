package io.cactusspring.core.config;

import io.cactusspring.core.model.ConfigItem;

/**
 * A configuration item with the note that last changed it.
 *
 * @param revision offset of that note's record
 * @param note id of the note
 * @param operator name of the operator's key
 * @since 0.1
 */
public record RevisionedItem(ConfigItem item, long revision, String note, String operator) {}
