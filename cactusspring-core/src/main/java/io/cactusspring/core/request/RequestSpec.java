package io.cactusspring.core.request;

import io.cactusspring.core.model.Arguments;

/**
 * A caller's request as far as decisions need it. The body stays with the daemon.
 *
 * @param ticket unique on this entry host; two requests may carry the same id
 * @param id the caller's request id
 * @param weight the team's share
 * @param idempotent whether it may be sent again after it may have run
 * @param offeredNanos monotonic time of its arrival
 * @param deadlineNanos monotonic time after which nobody waits for the answer
 * @since 0.1
 */
public record RequestSpec(
    long ticket,
    String id,
    String team,
    int weight,
    boolean idempotent,
    long offeredNanos,
    long deadlineNanos) {
  /**
   * @throws IllegalArgumentException if a field is missing or the weight is not positive
   */
  public RequestSpec {
    Arguments.checkPresent("request id", id);
    Arguments.checkName("team", team);
    Arguments.checkRange("weight", weight, 1, Integer.MAX_VALUE);
  }
}
