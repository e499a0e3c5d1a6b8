package io.cactusspring.daemon.settings;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Formats settings as text, one field per line, with secrets hidden.
 *
 * @since 0.1
 */
public final class SettingsPrinter {
  private static final String HIDDEN = "(hidden)";

  private SettingsPrinter() {}

  /** Returns one line for each field, in the order of {@link SettingsField}. */
  public static String print(DaemonSettings settings) {
    return Arrays.stream(SettingsField.values())
        .map(f -> line(f, settings))
        .collect(Collectors.joining(System.lineSeparator()));
  }

  private static String line(SettingsField field, DaemonSettings s) {
    String unit = field.unit().isEmpty() ? "" : " " + field.unit();
    return "%-22s %s%s".formatted(field.key(), value(field, s), unit);
  }

  private static String value(SettingsField field, DaemonSettings s) {
    return switch (field) {
      case NAME -> s.name();
      case ZONE -> s.zone().name();
      case REGION -> s.region();
      case CELL -> s.cell();
      case CALLER_ADDRESS -> s.callerAddress().toString();
      case PEER_ADDRESS -> s.peerAddress().toString();
      case PLATFORM_LOG -> s.platformLog().toString();
      case HOST_LIST -> s.hostList().toString();
      case PEERS -> peers(s.peers());
      case BOOTSTRAP_KEY -> s.bootstrapKey().name() + " salt=" + HIDDEN + " hash=" + HIDDEN;
      case CALLER_TLS -> tls(s.callerTls());
      case PEER_TLS -> tls(s.peerTls());
      default -> Long.toString(s.number(field));
    };
  }

  private static String peers(List<PeerSettings> peers) {
    if (peers.isEmpty()) {
      return "none";
    }
    return peers.stream()
        .map(p -> p.name() + " (" + p.zone() + ", " + p.region() + ") at " + p.address())
        .collect(Collectors.joining("; "));
  }

  private static String tls(Optional<TlsSettings> tls) {
    return tls.map(SettingsPrinter::tls).orElse("off");
  }

  private static String tls(TlsSettings t) {
    String authorities = t.authorities().map(a -> " authorities " + a).orElse("");
    return "certificate " + t.certificate() + " key " + HIDDEN + authorities;
  }
}
