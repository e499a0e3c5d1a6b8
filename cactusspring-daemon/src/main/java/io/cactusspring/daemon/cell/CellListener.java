package io.cactusspring.daemon.cell;

import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.state.StateChange;
import java.util.List;

/**
 * Receives every replayed record under the lock of the cell. Implementations must not block.
 *
 * @since 0.1
 */
public interface CellListener {
  /** Called after a record has been applied. */
  void applied(long offset, LogRecord entry, List<StateChange> changes);

  /** Called after a snapshot has replaced the whole state. */
  default void restored() {}
}
