package io.cactusspring.core.request;

import io.cactusspring.core.model.Arguments;

/**
 * Properties of a caller's request that routing decisions need. The body stays in the daemon.
 *
 * @param ticket number that is unique on this entry host; two requests may have the same id
 * @param id request id given by the caller
 * @param team team that the request is charged to
 * @param weight weight of the team in the fair queue; positive
 * @param idempotent whether the request may be sent again after it may have run
 * @param arrivalNanos monotonic time of arrival
 * @param deadlineNanos monotonic time after which the caller no longer waits for a response
 * @since 0.1
 */
public record RequestSpec(
    long ticket,
    String id,
    String team,
    int weight,
    boolean idempotent,
    long arrivalNanos,
    long deadlineNanos) {
  /**
   * @throws IllegalArgumentException if the id is missing, the team is not a valid name or the
   *     weight is not positive
   */
  public RequestSpec {
    Arguments.checkPresent("request id", id);
    Arguments.checkName("team", team);
    Arguments.checkRange("weight", weight, 1, Integer.MAX_VALUE);
  }
}
