package io.cactusspring.daemon.http;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.security.Identity;

/**
 * Determines the team to which a caller's request is attributed.
 *
 * @since 0.1
 */
public final class TeamResolver {
  private TeamResolver() {}

  /**
   * Returns the team of the caller's key, or the requested open queue.
   *
   * @param queue name of an open queue or of the team of the key; null selects the team of the key
   * @throws RefusalException if the caller may not use the queue
   */
  public static ConfigItem.Team resolveTeam(
      Configuration configuration, Identity caller, String queue) throws RefusalException {
    return switch (caller) {
      case Identity.TeamIdentity t when queue == null || queue.equals(t.team()) ->
          find(configuration, t.team());
      case Identity.TeamIdentity t -> findOpen(configuration, queue, RefusalReason.NOT_YOUR_TEAM);
      case Identity.OperatorIdentity o ->
          throw refusal(RefusalReason.NOT_YOUR_TEAM, "key " + o.key() + " is an operator's key");
      case Identity.Anonymous a when queue == null ->
          throw refusal(
              RefusalReason.MISSING_KEY, "no key given; send a key or name an open queue");
      case Identity.Anonymous a -> findOpen(configuration, queue, RefusalReason.MISSING_KEY);
    };
  }

  private static ConfigItem.Team find(Configuration configuration, String team)
      throws RefusalException {
    return configuration
        .team(team)
        .orElseThrow(
            () ->
                refusal(
                    RefusalReason.UNKNOWN_KEY, "key is of a team that is not configured: " + team));
  }

  private static ConfigItem.Team findOpen(
      Configuration configuration, String queue, RefusalReason otherwise) throws RefusalException {
    return configuration
        .team(queue)
        .filter(ConfigItem.Team::open)
        .orElseThrow(() -> refusal(otherwise, "no open queue \"" + queue + "\""));
  }

  private static RefusalException refusal(RefusalReason reason, String message) {
    return new RefusalException(Refusal.of(reason, message));
  }
}
