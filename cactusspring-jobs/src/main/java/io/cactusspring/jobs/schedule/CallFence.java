package io.cactusspring.jobs.schedule;

/**
 * The fencing token of the calls to one executor.
 *
 * <p>A call that got no answer may be carried out seconds later, also by a later boot with the same
 * id, which knows nothing of the calls before. An executor does nothing for a lower token than it
 * has seen. The token is therefore raised whenever an earlier call may still be carried out: once
 * the executor has taken a call with the new token, no earlier one has an effect on that boot.
 */
final class CallFence {
  private final long lastToken;
  private long token;

  /** Creates the fence of an executor to which this owner has sent no call. */
  CallFence(long term) {
    token = term;
    lastToken = term + SchedulerSettings.TOKENS_PER_TERM - 1;
  }

  /** Returns the token of the next call. */
  long token() {
    return token;
  }

  /** Records that a call with a token got no answer. */
  void unanswered(long sent) {
    if (sent == token) {
      raise();
    }
  }

  /** Lets no earlier call have an effect on a boot that takes the next one. */
  void raise() {
    token = Math.min(token + 1, lastToken);
  }
}
