package io.cactusspring.core.security;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.ConfigItem;
import java.util.Optional;

/**
 * Determines the identity of a request's sender from the key that the request carries.
 *
 * <pre>{@code
 * Identity id = new Authenticator(bootstrap).authenticate(configuration, Optional.of("k1.secret"));
 * }</pre>
 *
 * @since 0.1
 */
public final class Authenticator {
  private final Optional<ConfigItem.Key> bootstrapKey;

  /**
   * @param bootstrapKey operator's key that is valid while the configuration has no operator's key;
   *     may be empty
   */
  public Authenticator(Optional<ConfigItem.Key> bootstrapKey) {
    this.bootstrapKey = bootstrapKey;
  }

  /**
   * Checks a key against the configuration in force.
   *
   * @param bearer {@code NAME.SECRET}; empty when the caller sent none
   * @throws AuthenticationException if the key is malformed, unknown or withdrawn
   */
  public Identity authenticate(Configuration configuration, Optional<String> bearer)
      throws AuthenticationException {
    if (bearer.isEmpty()) {
      return new Identity.Anonymous();
    }
    PresentedKey presented = Keys.parse(bearer.get());
    ConfigItem.Key key = find(configuration, presented.name()).orElse(Keys.DUMMY);
    return Optional.of(key)
        .filter(k -> Keys.matches(k, presented.secret()))
        .map(Authenticator::identityOf)
        .filter(i -> isOwnerInForce(configuration, i))
        .orElseThrow(() -> unknownKey(presented));
  }

  private Optional<ConfigItem.Key> find(Configuration configuration, String name) {
    return configuration
        .key(name)
        .or(() -> bootstrapKey.filter(k -> k.name().equals(name) && !hasOperator(configuration)));
  }

  private static AuthenticationException unknownKey(PresentedKey presented) {
    return new AuthenticationException(
        AuthenticationException.Reason.UNKNOWN_KEY, "no key \"" + presented.name() + "\" in force");
  }

  private static Identity identityOf(ConfigItem.Key key) {
    return key.operator()
        ? new Identity.OperatorIdentity(key.name())
        : new Identity.TeamIdentity(key.team(), key.name());
  }

  private static boolean isOwnerInForce(Configuration configuration, Identity identity) {
    return switch (identity) {
      case Identity.TeamIdentity t -> configuration.team(t.team()).isPresent();
      case Identity.OperatorIdentity o -> true;
      case Identity.Anonymous a -> true;
    };
  }

  private static boolean hasOperator(Configuration configuration) {
    return configuration.keys().stream().anyMatch(ConfigItem.Key::operator);
  }
}
