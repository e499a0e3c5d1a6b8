package io.cactusspring.jobs.schedule;

import java.util.Map;

/** What holds a step that waits, as of a moment. */
sealed interface WaitReason {
  /**
   * No executor has room, and other steps of the service come first.
   *
   * @param before number of these steps
   * @param executors number of executors that may run the step
   */
  record Order(int before, int executors) implements WaitReason {}

  /**
   * No executor has room for the step, which comes first at its service.
   *
   * @param executors number of executors that may run the step
   */
  record Room(int executors) implements WaitReason {}

  /** No executor of the service, with the required label, is large enough. */
  record NoExecutor(String service) implements WaitReason {}

  /**
   * No executor that takes tasks has room.
   *
   * @param executors number of executors that take none, by cause; only those with room if any has
   * @param usable number of executors without room
   */
  record Excluded(Map<Exclusion, Integer> executors, int usable) implements WaitReason {}

  /**
   * An advice call for the step is in progress.
   *
   * @param millis since when
   * @param denied number of executors with room that are denied already
   */
  record AdvicePending(long millis, int denied) implements WaitReason {}

  /** No host was free to make an advice call. */
  record NoCaller(AdviceSlots.Usage usage) implements WaitReason {}

  /** An advice call has failed, and the next one follows in some milliseconds. */
  record AdviceRetry(long millis) implements WaitReason {}

  /** All executors with room were denied by the advice service. */
  record Denied(int executors) implements WaitReason {}

  /** More tasks would exceed the limit of the organisation. */
  record Limit(String organisation) implements WaitReason {}

  /** All executors with room are kept for gangs that rank before the step. */
  record Reserved(int executors) implements WaitReason {}

  /** There is room for some members of the gang only. */
  record Gang(int placeable, int members) implements WaitReason {}

  /**
   * The tasks may crash their executor, or executors are held for such tasks.
   *
   * @param held number of executors with room that are held
   */
  record Suspect(int held) implements WaitReason {}

  /**
   * Runs of the step may go on at an executor that does not answer.
   *
   * @param executor the one whose lease lapses last
   * @param millis time until it has lapsed
   */
  record Lease(String executor, int runs, long millis) implements WaitReason {}

  /** As many tasks of the job have begun as its progress record can hold. */
  record BegunTasks(int max) implements WaitReason {}

  /** The job is set aside after an unexpected error. */
  record SetAside() implements WaitReason {}

  /** All tasks pause before their next run, the shortest for this many milliseconds. */
  record RetryPause(long millis) implements WaitReason {}

  /**
   * Nothing that is known holds the step.
   *
   * @param executors number of executors that have room and may be used
   */
  record Unexplained(int executors) implements WaitReason {}

  /** The reason could not be found because of an unexpected error. */
  record Undetermined(String problem) implements WaitReason {}

  /** Returns the name in the log and in the metrics. */
  default String code() {
    return switch (this) {
      case Order o -> "ORDER";
      case Room r -> "ROOM";
      case NoExecutor n -> "NO_EXECUTOR";
      case Excluded e -> "EXCLUSION";
      case AdvicePending a -> "ADVICE_PENDING";
      case NoCaller n -> "NO_CALLER";
      case AdviceRetry a -> "ADVICE_RETRY";
      case Denied d -> "DENIED";
      case Limit l -> "LIMIT";
      case Reserved r -> "RESERVATION";
      case Gang g -> "GANG";
      case Suspect s -> "SUSPECT";
      case Lease l -> "LEASE";
      case BegunTasks b -> "BEGUN_TASKS";
      case SetAside s -> "SET_ASIDE";
      case RetryPause r -> "RETRY_PAUSE";
      case Unexplained u -> "UNEXPLAINED";
      case Undetermined u -> "UNDETERMINED";
    };
  }

  /** Returns a description for the log. */
  default String text() {
    return switch (this) {
      case Order(int before, int executors) ->
          "none of %d executors has room, and %d steps come first".formatted(executors, before);
      case Room(int executors) -> "none of %d executors has room".formatted(executors);
      case NoExecutor(String service) ->
          "no executor of service %s has the label and is large enough".formatted(service);
      case Excluded(Map<Exclusion, Integer> executors, int usable) ->
          "excluded executors %s, none of %d others has room".formatted(executors, usable);
      case AdvicePending(long millis, int denied) ->
          "advice call in progress for %d ms, %d executors with room denied"
              .formatted(millis, denied);
      case NoCaller(AdviceSlots.Usage usage) -> "no host is free for an advice call: " + usage;
      case AdviceRetry(long millis) ->
          "advice call failed, the next one follows in %d ms".formatted(millis);
      case Denied(int executors) -> "all %d executors with room are denied".formatted(executors);
      case Limit(String organisation) -> "limit of organisation %s".formatted(organisation);
      case Reserved(int executors) ->
          "all %d executors with room are kept for gangs".formatted(executors);
      case Gang(int placeable, int members) ->
          "room for %d of %d members".formatted(placeable, members);
      case Suspect(int held) ->
          "placed apart because of crashes, %d executors with room are held".formatted(held);
      case Lease(String executor, int runs, long millis) ->
          "executor %s does not answer; %d runs, lease lapses in %d ms"
              .formatted(executor, runs, millis);
      case BegunTasks(int max) -> "%d tasks have begun, no more may".formatted(max);
      case SetAside() -> "set aside after an error";
      case RetryPause(long millis) -> "next run in %d ms".formatted(millis);
      case Unexplained(int executors) ->
          "%d executors have room and nothing known holds the step".formatted(executors);
      case Undetermined(String problem) -> problem;
    };
  }
}
