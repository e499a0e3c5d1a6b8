package io.cactusspring.jobs.schedule;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * How long something spent in each stage of its processing.
 *
 * @param millis milliseconds by stage; stages that took no time may be missing
 * @since 0.3
 */
public record StageTimes(Map<Stage, Long> millis) {
  static final StageTimes NONE = new StageTimes(Map.of());

  /**
   * A stage in the processing of a job, in the order in which a task passes through them. The names
   * are written to the log and to the metrics.
   */
  public enum Stage {
    /** Before any owner knew the job: its entry host and the inbox. */
    TRANSFER,
    /** Before the present owner took over, for a job that was accepted before that. */
    EARLIER_OWNERS,
    /** Runs that were lost, stopped or failed, and the waits before them. */
    RETRY,
    /** Waiting while a call to the advice service was in progress. */
    ADVICE,
    /** Waiting for an executor with room, or for a caller for advice. */
    ROOM,
    /** From the decision until the start was sent, once the decision was stored. */
    STORE,
    /** From the first start that was sent until the executor confirmed the run. */
    START,
    /** From the confirmation until the owner learned of the end. */
    RUN;

    private static final Pattern WORD_START = Pattern.compile("_(.)");

    /**
     * Returns the name of the field with the stage's time in the log, such as {@code runMillis}.
     */
    public String fieldName() {
      String lower = name().toLowerCase(Locale.ROOT);
      return WORD_START.matcher(lower).replaceAll(m -> m.group(1).toUpperCase(Locale.ROOT))
          + "Millis";
    }
  }

  public StageTimes {
    millis = Collections.unmodifiableMap(copyOf(millis));
  }

  private static EnumMap<Stage, Long> copyOf(Map<Stage, Long> millis) {
    EnumMap<Stage, Long> copy = new EnumMap<>(Stage.class);
    copy.putAll(millis);
    return copy;
  }

  /** Returns the time spent in a stage, in milliseconds. */
  public long in(Stage stage) {
    return millis.getOrDefault(stage, 0L);
  }

  /** Returns the time spent in all stages, in milliseconds. */
  public long total() {
    return millis.values().stream().mapToLong(Long::longValue).sum();
  }

  StageTimes plus(StageTimes other) {
    EnumMap<Stage, Long> sum = copyOf(millis);
    other.millis.forEach((stage, time) -> sum.merge(stage, time, Long::sum));
    return new StageTimes(sum);
  }

  /** Returns a copy with the time of one stage replaced; negative times count as none. */
  StageTimes with(Stage stage, long time) {
    EnumMap<Stage, Long> copy = copyOf(millis);
    copy.put(stage, Math.max(0, time));
    return new StageTimes(copy);
  }
}
