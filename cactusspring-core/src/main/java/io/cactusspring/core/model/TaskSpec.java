package io.cactusspring.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Resource needs and execution constraints of one task of a workload.
 *
 * <pre>{@code
 * TaskSpec spec =
 *     TaskSpec.builder(new Resources(1_000, 512, 0))
 *         .expectedMillis(30_000)
 *         .idempotent(true)
 *         .build();
 * }</pre>
 *
 * @param resources resources committed on the worker while the task runs
 * @param expectedMillis declared run time in milliseconds; 0 for a task that runs until it is
 *     stopped
 * @param idempotent whether a run whose outcome is unknown may start again
 * @param checkpointable whether the task can be checkpointed, stopped and resumed
 * @param urgency start priority; null stands for {@link Urgency#NORMAL}
 * @param payload opaque text passed to the worker; null stands for the empty text
 * @since 0.1
 */
public record TaskSpec(
    Resources resources,
    long expectedMillis,
    boolean idempotent,
    boolean checkpointable,
    Urgency urgency,
    String payload) {
  public static final int MAX_PAYLOAD_CHARS = 16_384;
  private static final long MAX_EXPECTED_MILLIS = 366L * 24 * 3_600_000;

  /**
   * @throws IllegalArgumentException if a field is out of range
   */
  public TaskSpec {
    Arguments.checkPresent("resources", resources);
    Arguments.checkRange("expectedMillis", expectedMillis, 0, MAX_EXPECTED_MILLIS);
    urgency = urgency == null ? Urgency.NORMAL : urgency;
    payload = payload == null ? "" : payload;
    Arguments.checkRange("payload length", payload.length(), 0, MAX_PAYLOAD_CHARS);
  }

  /** Reads a spec; absent flags take the builder's defaults. */
  @JsonCreator
  static TaskSpec fromJson(
      @JsonProperty(value = "resources", required = true) Resources resources,
      @JsonProperty("expectedMillis") long expectedMillis,
      @JsonProperty("idempotent") Boolean idempotent,
      @JsonProperty("checkpointable") Boolean checkpointable,
      @JsonProperty("urgency") Urgency urgency,
      @JsonProperty("payload") String payload) {
    return new TaskSpec(
        resources,
        expectedMillis,
        idempotent == null || idempotent,
        checkpointable != null && checkpointable,
        urgency,
        payload);
  }

  public static Builder builder(Resources resources) {
    return new Builder(resources);
  }

  /**
   * Builds a {@link TaskSpec}; by default idempotent, of normal urgency and running until stopped.
   */
  public static final class Builder {
    private final Resources resources;
    private long expectedMillis;
    private boolean idempotent = true;
    private boolean checkpointable;
    private Urgency urgency = Urgency.NORMAL;
    private String payload = "";

    private Builder(Resources resources) {
      this.resources = resources;
    }

    public Builder expectedMillis(long value) {
      expectedMillis = value;
      return this;
    }

    public Builder idempotent(boolean value) {
      idempotent = value;
      return this;
    }

    public Builder checkpointable(boolean value) {
      checkpointable = value;
      return this;
    }

    public Builder urgency(Urgency value) {
      urgency = value;
      return this;
    }

    public Builder payload(String value) {
      payload = value;
      return this;
    }

    /**
     * @throws IllegalArgumentException if a field is out of range
     */
    public TaskSpec build() {
      return new TaskSpec(resources, expectedMillis, idempotent, checkpointable, urgency, payload);
    }
  }
}
