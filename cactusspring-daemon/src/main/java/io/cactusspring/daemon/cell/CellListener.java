package io.cactusspring.daemon.cell;

import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.state.StateChange;
import java.util.List;

/**
 * Told of every replayed record, under the lock of the cell; it must not block.
 *
 * @since 0.1
 */
public interface CellListener {
  /** Called after a record has been applied. */
  void applied(long offset, LogRecord entry, List<StateChange> changes);

  /** Called after the whole state was replaced by a snapshot. */
  default void restored() {}
}
