package io.cactusspring.soak;

import java.util.Map;

/**
 * How a run of a gang fails.
 *
 * @param percent share of the work that is done before
 * @param delays for each member that fails, by its index, when it does so after that moment
 */
record GangFailure(int percent, Map<Integer, Long> delays) {}
