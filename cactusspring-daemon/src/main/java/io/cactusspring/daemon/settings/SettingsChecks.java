package io.cactusspring.daemon.settings;

import io.cactusspring.core.model.Arguments;
import java.util.HashSet;
import java.util.Set;

/**
 * Checks that the required settings are present and that settings do not contradict each other.
 *
 * <p>Each message starts with the key of a field: {@link SettingsBinder} derives the line from it.
 */
final class SettingsChecks {
  private SettingsChecks() {}

  /**
   * @throws IllegalArgumentException if a required field is missing or two fields contradict each
   *     other
   */
  static void check(DaemonSettings s) {
    Arguments.checkPresent("name", s.name());
    Arguments.checkPresent("zone", s.zone());
    Arguments.checkPresent("region", s.region());
    Arguments.checkPresent("callerAddress", s.callerAddress());
    Arguments.checkPresent("peerAddress", s.peerAddress());
    Arguments.checkPresent("platformLog", s.platformLog());
    Arguments.checkPresent("hostList", s.hostList());
    Arguments.checkPresent("bootstrapKey", s.bootstrapKey());
    checkGreater(s, SettingsField.TAKEOVER_MILLIS, SettingsField.AUTHORITY_MILLIS);
    checkGreater(s, SettingsField.RENEW_AUTHORITY_MILLIS, SettingsField.AUTHORITY_MILLIS);
    checkGreater(s, SettingsField.AUTHORITY_MILLIS, SettingsField.HEARTBEAT_MILLIS);
    checkGreater(s, SettingsField.LEASE_MILLIS, SettingsField.WORKER_SYNC_MILLIS);
    checkGreater(s, SettingsField.KEEP_RECORDS, SettingsField.SNAPSHOT_EVERY_RECORDS);
    checkPeers(s);
    checkPeerTls(s);
  }

  private static void checkGreater(DaemonSettings s, SettingsField larger, SettingsField smaller) {
    if (s.number(larger) <= s.number(smaller)) {
      throw new IllegalArgumentException(
          "%s is %d; expected more than %s, which is %d"
              .formatted(larger.key(), s.number(larger), smaller.key(), s.number(smaller)));
    }
  }

  private static void checkPeers(DaemonSettings s) {
    Set<String> names = new HashSet<>(Set.of(s.name()));
    for (PeerSettings p : s.peers()) {
      if (!names.add(p.name())) {
        throw new IllegalArgumentException(
            "peers lists \""
                + p.name()
                + "\" twice or names this host; expected every other entry host once");
      }
    }
  }

  private static void checkPeerTls(DaemonSettings s) {
    boolean missingAuthorities = s.peerTls().map(t -> t.authorities().isEmpty()).orElse(false);
    if (missingAuthorities) {
      throw new IllegalArgumentException(
          "peerTls has no authorities; expected the CAs that sign the peers' certificates");
    }
  }
}
