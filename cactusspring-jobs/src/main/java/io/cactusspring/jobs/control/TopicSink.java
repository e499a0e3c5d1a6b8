package io.cactusspring.jobs.control;

import io.cactusspring.jobs.port.KeyedTopic.Entry;
import java.util.Set;

/**
 * Receives the records that a {@link TopicFollower} reads.
 *
 * @since 0.2
 */
public interface TopicSink {
  /**
   * Applies a record. Records are delivered in the order of their offsets; a record may be
   * delivered more than once.
   */
  void apply(Entry entry);

  /**
   * Called when the newest record of every key was applied.
   *
   * @param keys all keys of the topic
   */
  void loaded(Set<String> keys);

  /** Called when all records of a read were applied, also if there were none. */
  default void caughtUp() {}
}
