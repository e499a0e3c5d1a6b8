package io.cactusspring.daemon.settings;

import io.cactusspring.core.model.Arguments;
import java.util.HashSet;
import java.util.Set;

/** Checks of settings against each other. */
final class SettingsChecks {
  private SettingsChecks() {}

  /**
   * @throws IllegalArgumentException if a required field is missing or two fields contradict
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
    checkAbove(s, SettingsField.TAKEOVER_MILLIS, SettingsField.AUTHORITY_MILLIS);
    checkAbove(s, SettingsField.RENEW_AUTHORITY_MILLIS, SettingsField.AUTHORITY_MILLIS);
    checkAbove(s, SettingsField.AUTHORITY_MILLIS, SettingsField.HEARTBEAT_MILLIS);
    checkAbove(s, SettingsField.LEASE_MILLIS, SettingsField.WORKER_SYNC_MILLIS);
    checkAbove(s, SettingsField.KEEP_RECORDS, SettingsField.SNAPSHOT_EVERY_RECORDS);
    checkPeers(s);
    checkPeerTls(s);
  }

  private static void checkAbove(DaemonSettings s, SettingsField high, SettingsField low) {
    if (s.number(high) <= s.number(low)) {
      throw new IllegalArgumentException(
          "%s is %d; expected more than %s, which is %d"
              .formatted(high.key(), s.number(high), low.key(), s.number(low)));
    }
  }

  private static void checkPeers(DaemonSettings s) {
    Set<String> names = new HashSet<>(Set.of(s.name()));
    for (PeerSettings p : s.peers()) {
      if (!names.add(p.name())) {
        throw new IllegalArgumentException(
            "peers names \""
                + p.name()
                + "\" twice or names this host; expected each other host once");
      }
    }
  }

  private static void checkPeerTls(DaemonSettings s) {
    boolean oneSided = s.peerTls().map(t -> t.authorities().isEmpty()).orElse(false);
    if (oneSided) {
      throw new IllegalArgumentException(
          "peerTls has no authorities; expected the file that signs the peers' certificates");
    }
  }
}
