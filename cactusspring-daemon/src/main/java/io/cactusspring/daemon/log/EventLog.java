package io.cactusspring.daemon.log;

import java.util.Arrays;

/**
 * Writes events through {@link System.Logger}.
 *
 * <pre>{@code
 * private static final EventLog LOG = EventLog.of(ShardController.class);
 *
 * LOG.event(Event.SHARD_CLAIMED, shard, epoch);
 * }</pre>
 *
 * @since 0.1
 */
public final class EventLog {
  private final System.Logger logger;

  private EventLog(System.Logger logger) {
    this.logger = logger;
  }

  /** Returns an event log that writes to the logger named after a class. */
  public static EventLog of(Class<?> source) {
    return of(System.getLogger(source.getName()));
  }

  /** Returns an event log that writes to the given logger. */
  public static EventLog of(System.Logger logger) {
    return new EventLog(logger);
  }

  /**
   * Logs an event.
   *
   * @param values one for each placeholder of the event's text, in order
   * @throws IllegalArgumentException if the number of values does not match
   */
  public void event(Event event, Object... values) {
    if (logger.isLoggable(event.level())) {
      logger.log(event.level(), event.format(Arrays.asList(values)));
    }
  }

  /**
   * Logs an event with the stack trace of its cause.
   *
   * @param values one for each placeholder of the event's text, in order
   * @throws IllegalArgumentException if the number of values does not match
   */
  public void failure(Event event, Throwable cause, Object... values) {
    if (logger.isLoggable(event.level())) {
      logger.log(event.level(), event.format(Arrays.asList(values)), cause);
    }
  }
}
