package io.cactusspring.jobs.model;

import static io.cactusspring.core.model.Arguments.checkRange;

import io.cactusspring.core.model.Resources;
import java.util.List;

/**
 * A step of a job: identical tasks that become ready at the same time.
 *
 * @param tasks number of tasks, from 1 to {@link #MAX_TASKS}
 * @param resources resources that one task reserves on its executor
 * @param estimateMillis the caller's rough estimate of the duration of one task, in milliseconds
 * @param after indexes of earlier steps that must be done before this step starts
 * @param checkpoints whether tasks resume from the checkpoint of their last attempt
 * @param gang whether the tasks make progress only while all of them run
 * @param sameRack whether the tasks are slower when they are spread over several racks
 * @param requiredLabel label that the executor must have; empty for none
 * @param dataRack rack that holds the input data; empty for none
 * @param maxPerExecutor maximum number of these tasks on one executor; 0 for no limit
 * @param speculative whether a second copy of a task may run concurrently with the first
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image image that the tasks run; tasks with the same image behave alike
 * @param targetMillis upper limit of the tail latency of a serving task, in milliseconds; 0 for
 *     none
 * @param fills whether the tasks use only processor time that other tasks leave idle
 * @param maxUnavailable disruption budget: maximum number of tasks that may be unavailable at the
 *     same time because of actions of the scheduler
 * @since 0.2
 */
public record StepSpec(
    int tasks,
    Resources resources,
    long estimateMillis,
    List<Integer> after,
    boolean checkpoints,
    boolean gang,
    boolean sameRack,
    String requiredLabel,
    String dataRack,
    int maxPerExecutor,
    boolean speculative,
    boolean longRunning,
    String image,
    long targetMillis,
    boolean fills,
    int maxUnavailable) {
  /** Maximum number of tasks of one step; wider steps are refused. */
  public static final int MAX_TASKS = 10_000;

  private static final long MAX_MILLIS = 1L << 40;

  /**
   * @throws IllegalArgumentException if a number is out of range
   */
  public StepSpec {
    checkRange("tasks", tasks, 1, MAX_TASKS);
    checkRange("estimateMillis", estimateMillis, 0, MAX_MILLIS);
    checkRange("maxPerExecutor", maxPerExecutor, 0, MAX_TASKS);
    checkRange("targetMillis", targetMillis, 0, MAX_MILLIS);
    checkRange("maxUnavailable", maxUnavailable, 0, MAX_TASKS);
    after = after == null ? List.of() : List.copyOf(after);
    requiredLabel = requiredLabel == null ? "" : requiredLabel;
    dataRack = dataRack == null ? "" : dataRack;
    image = image == null ? "" : image;
  }

  /**
   * Returns the resources that one task takes from the capacity of its executor. A task that {@link
   * #fills} idle processor time takes no processors.
   */
  public Resources committed() {
    return fills ? new Resources(0, resources.memoryMib(), resources.accelerators()) : resources;
  }

  /** Returns a builder for a step of one task. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a {@link StepSpec}. */
  public static final class Builder {
    private int tasks = 1;
    private Resources resources = Resources.NONE;
    private long estimateMillis;
    private List<Integer> after = List.of();
    private boolean checkpoints;
    private boolean gang;
    private boolean sameRack;
    private String requiredLabel = "";
    private String dataRack = "";
    private int maxPerExecutor;
    private boolean speculative;
    private boolean longRunning;
    private String image = "";
    private long targetMillis;
    private boolean fills;
    private int maxUnavailable;

    private Builder() {}

    public Builder tasks(int value) {
      tasks = value;
      return this;
    }

    public Builder resources(Resources value) {
      resources = value;
      return this;
    }

    public Builder estimateMillis(long value) {
      estimateMillis = value;
      return this;
    }

    public Builder after(List<Integer> value) {
      after = value;
      return this;
    }

    public Builder checkpoints(boolean value) {
      checkpoints = value;
      return this;
    }

    public Builder gang(boolean value) {
      gang = value;
      return this;
    }

    public Builder sameRack(boolean value) {
      sameRack = value;
      return this;
    }

    public Builder requiredLabel(String value) {
      requiredLabel = value;
      return this;
    }

    public Builder dataRack(String value) {
      dataRack = value;
      return this;
    }

    public Builder maxPerExecutor(int value) {
      maxPerExecutor = value;
      return this;
    }

    public Builder speculative(boolean value) {
      speculative = value;
      return this;
    }

    public Builder longRunning(boolean value) {
      longRunning = value;
      return this;
    }

    public Builder image(String value) {
      image = value;
      return this;
    }

    public Builder targetMillis(long value) {
      targetMillis = value;
      return this;
    }

    public Builder fills(boolean value) {
      fills = value;
      return this;
    }

    public Builder maxUnavailable(int value) {
      maxUnavailable = value;
      return this;
    }

    /**
     * Builds the step.
     *
     * @throws IllegalArgumentException if a number is out of range
     */
    public StepSpec build() {
      return new StepSpec(
          tasks,
          resources,
          estimateMillis,
          after,
          checkpoints,
          gang,
          sameRack,
          requiredLabel,
          dataRack,
          maxPerExecutor,
          speculative,
          longRunning,
          image,
          targetMillis,
          fills,
          maxUnavailable);
    }
  }
}
