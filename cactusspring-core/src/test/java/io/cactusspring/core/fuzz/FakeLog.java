package io.cactusspring.core.fuzz;

import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.state.ClusterState;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** In-memory fake of the platform's log, including its treatment of appends in an outage. */
final class FakeLog {
  /** How the log answers calls. */
  enum Mode {
    UP,
    REFUSING,
    SILENT,
    /** Appends take effect, but their answers are lost. */
    LOSING_ANSWERS,
    /** Appends take effect seconds later, and their answers are lost. */
    APPENDING_LATE
  }

  private static final long FIRST_OFFSET = 1;

  private final List<LogRecord> records = new ArrayList<>();
  private final ClusterState reference = new ClusterState();
  private final List<Long> times = new ArrayList<>();
  private final EventQueue events;
  private Mode mode = Mode.UP;

  FakeLog(EventQueue events) {
    this.events = events;
  }

  Mode mode() {
    return mode;
  }

  void mode(Mode next) {
    mode = next;
  }

  /** Returns the state of a host that has read all records. */
  ClusterState reference() {
    return reference;
  }

  long append(LogRecord r) {
    records.add(r);
    times.add(events.now());
    long offset = records.size();
    reference.apply(offset, r);
    return offset;
  }

  List<LogRecord> from(long offset) {
    return List.copyOf(records.subList((int) (offset - FIRST_OFFSET), records.size()));
  }

  List<LogRecord> all() {
    return from(FIRST_OFFSET);
  }

  /** Returns the records as text, with the true times of their appends. */
  List<String> lines() {
    return IntStream.range(0, records.size())
        .mapToObj(i -> "%d at %d ms: %s".formatted(i + 1, times.get(i), records.get(i)))
        .toList();
  }
}
