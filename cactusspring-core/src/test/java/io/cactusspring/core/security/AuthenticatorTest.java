package io.cactusspring.core.security;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.config.RevisionedItem;
import io.cactusspring.core.model.ConfigItem;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class AuthenticatorTest {
  private static final ConfigItem.Team COUNTER = new ConfigItem.Team("counter", 1, 10, false);
  private static final ConfigItem.Key BOOTSTRAP = key("boot", null, "first");
  private static final ConfigItem.Key TEAM_KEY = key("k.1", "counter", "s3cret");

  private final Authenticator authenticator = new Authenticator(Optional.of(BOOTSTRAP));

  @Test
  void teamKeyNamesItsTeam() throws Exception {
    assertThat(authenticate("k.1.s3cret", COUNTER, TEAM_KEY))
        .isEqualTo(new Identity.TeamIdentity("counter", "k.1"));
  }

  @Test
  void wrongSecretIsRefused() {
    assertRefused(AuthenticationException.Reason.UNKNOWN_KEY, "k.1.other", COUNTER, TEAM_KEY);
  }

  @Test
  void withdrawnKeyIsRefusedAtOnce() {
    assertRefused(AuthenticationException.Reason.UNKNOWN_KEY, "k.1.s3cret", COUNTER);
  }

  @Test
  void keyOfWithdrawnTeamIsRefused() {
    assertRefused(AuthenticationException.Reason.UNKNOWN_KEY, "k.1.s3cret", TEAM_KEY);
  }

  @Test
  void textWithoutSecretIsMalformed() {
    assertRefused(AuthenticationException.Reason.MALFORMED_KEY, "k1.");
    assertRefused(AuthenticationException.Reason.MALFORMED_KEY, "k1");
    assertRefused(AuthenticationException.Reason.MALFORMED_KEY, ".secret");
  }

  @Test
  void dummyKeyMatchesNoSecret() {
    assertRefused(AuthenticationException.Reason.UNKNOWN_KEY, "dummy.anything");
  }

  @Test
  void callerWithoutKeyIsAnonymous() throws Exception {
    assertThat(authenticator.authenticate(Configuration.EMPTY, Optional.empty()))
        .isEqualTo(new Identity.Anonymous());
  }

  @Test
  void bootstrapKeyIsValidOnlyUntilAnOperatorKeyExists() throws Exception {
    assertThat(authenticate("boot.first")).isEqualTo(new Identity.OperatorIdentity("boot"));
    ConfigItem.Key ops = key("ops", null, "second");
    assertThat(authenticate("ops.second", ops)).isEqualTo(new Identity.OperatorIdentity("ops"));
    assertRefused(AuthenticationException.Reason.UNKNOWN_KEY, "boot.first", ops);
  }

  @Test
  void presentedKeyPrintsWithoutItsSecret() throws Exception {
    assertThat(Keys.parse("k1.hidden").toString()).doesNotContain("hidden");
  }

  private Identity authenticate(String bearer, ConfigItem... items) throws Exception {
    return authenticator.authenticate(configuration(items), Optional.of(bearer));
  }

  private void assertRefused(
      AuthenticationException.Reason reason, String bearer, ConfigItem... items) {
    AuthenticationException e =
        assertThrows(AuthenticationException.class, () -> authenticate(bearer, items));
    assertThat(e.reason()).isEqualTo(reason);
  }

  private static Configuration configuration(ConfigItem... items) {
    return Configuration.of(
        1,
        Arrays.stream(items)
            .map(i -> new RevisionedItem(i, 1, "n", "ops"))
            .collect(Collectors.toMap(r -> r.item().path(), Function.identity())));
  }

  private static ConfigItem.Key key(String name, String team, String secret) {
    return new ConfigItem.Key(name, team, team == null, "0a0b", Keys.hash("0a0b", secret));
  }
}
