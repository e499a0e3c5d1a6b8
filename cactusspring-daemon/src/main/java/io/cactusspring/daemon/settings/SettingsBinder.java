package io.cactusspring.daemon.settings;

import io.cactusspring.core.model.AvailabilityZone;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Turns a parsed settings file into settings and reports what does not fit. */
final class SettingsBinder {
  private static final List<String> PEER_KEYS = List.of("name", "zone", "region", "address");
  private static final List<String> KEY_KEYS = List.of("name", "salt", "hash");
  private static final List<String> TLS_KEYS = List.of("certificate", "key", "authorities");

  private final Path file;
  private final DaemonSettings.Builder builder = DaemonSettings.builder();

  SettingsBinder(Path file) {
    this.file = file;
  }

  DaemonSettings bind(Located root) throws SettingsException {
    List<String> keys = Arrays.stream(SettingsField.values()).map(SettingsField::key).toList();
    Located.Fields fields = fields("the file", root, keys);
    checkRequired(fields);
    for (Map.Entry<String, Located> e : fields.fields().entrySet()) {
      bind(SettingsField.ofKey(e.getKey()).orElseThrow(), e.getValue());
    }
    try {
      return builder.build();
    } catch (IllegalArgumentException e) {
      throw new SettingsException(file, lineOfFirstWord(fields, e.getMessage()), e.getMessage());
    }
  }

  private void checkRequired(Located.Fields fields) throws SettingsException {
    String missing =
        Arrays.stream(SettingsField.values())
            .filter(SettingsField::required)
            .map(SettingsField::key)
            .filter(k -> !fields.fields().containsKey(k))
            .collect(Collectors.joining(", "));
    if (!missing.isEmpty()) {
      throw new SettingsException(file, fields.line(), "missing: " + missing);
    }
  }

  private void bind(SettingsField field, Located value) throws SettingsException {
    switch (field.kind()) {
      case NUMBER -> bindNumber(field, value);
      case ADDRESS -> bindAddress(field, value);
      case NAME_TEXT -> bindName(field, value);
      case PEER_LIST -> bindPeers(value);
      case KEY -> builder.bootstrapKey(bootstrapKey(field.key(), value));
      case TLS -> bindTls(field, value);
    }
  }

  private void bindNumber(SettingsField field, Located value) throws SettingsException {
    boolean whole =
        value instanceof Located.Scalar s
            && s.value().isIntegralNumber()
            && s.value().canConvertToLong();
    if (!whole) {
      throw wrongType(field.key(), value, "a whole number");
    }
    long number = ((Located.Scalar) value).value().longValue();
    convert(field.key(), value, number, n -> builder.number(field, n));
  }

  private void bindAddress(SettingsField field, Located value) throws SettingsException {
    Address address = text(field.key(), value, Address::parse);
    switch (field) {
      case CALLER_ADDRESS -> builder.callerAddress(address);
      case PEER_ADDRESS -> builder.peerAddress(address);
      case PLATFORM_LOG -> builder.platformLog(address);
      case HOST_LIST -> builder.hostList(address);
      default -> throw new AssertionError(field);
    }
  }

  private void bindName(SettingsField field, Located value) throws SettingsException {
    switch (field) {
      case NAME -> text(field.key(), value, builder::name);
      case ZONE -> text(field.key(), value, s -> builder.zone(new AvailabilityZone(s)));
      case REGION -> text(field.key(), value, builder::region);
      case CELL -> text(field.key(), value, builder::cell);
      default -> throw new AssertionError(field);
    }
  }

  private void bindPeers(Located value) throws SettingsException {
    if (!(value instanceof Located.Items items)) {
      throw wrongType("peers", value, "a list");
    }
    List<PeerSettings> peers = new ArrayList<>();
    for (int i = 0; i < items.items().size(); i++) {
      peers.add(peer("peers[" + i + "]", items.items().get(i)));
    }
    builder.peers(peers);
  }

  private PeerSettings peer(String path, Located value) throws SettingsException {
    Located.Fields f = fields(path, value, PEER_KEYS);
    String name = required(path, f, "name", Function.identity());
    AvailabilityZone zone = required(path, f, "zone", AvailabilityZone::new);
    String region = required(path, f, "region", Function.identity());
    Address address = required(path, f, "address", Address::parse);
    return convert(path, f, name, n -> new PeerSettings(n, zone, region, address));
  }

  private BootstrapKey bootstrapKey(String path, Located value) throws SettingsException {
    Located.Fields f = fields(path, value, KEY_KEYS);
    String name = required(path, f, "name", Function.identity());
    String salt = required(path, f, "salt", Function.identity());
    String hash = required(path, f, "hash", Function.identity());
    return convert(path, f, name, n -> new BootstrapKey(n, salt, hash));
  }

  private void bindTls(SettingsField field, Located value) throws SettingsException {
    Located.Fields f = fields(field.key(), value, TLS_KEYS);
    Path certificate = required(field.key(), f, "certificate", Path::of);
    Path key = required(field.key(), f, "key", Path::of);
    Optional<Path> authorities =
        f.fields().containsKey("authorities")
            ? Optional.of(required(field.key(), f, "authorities", Path::of))
            : Optional.empty();
    TlsSettings tls = new TlsSettings(certificate, key, authorities);
    if (field == SettingsField.CALLER_TLS) {
      builder.callerTls(tls);
    } else {
      builder.peerTls(tls);
    }
  }

  private Located.Fields fields(String path, Located value, List<String> known)
      throws SettingsException {
    if (!(value instanceof Located.Fields f)) {
      throw wrongType(path, value, "an object");
    }
    for (Map.Entry<String, Located> e : f.fields().entrySet()) {
      if (!known.contains(e.getKey())) {
        throw unknown(path, e.getKey(), e.getValue().line(), known);
      }
    }
    return f;
  }

  private <T> T required(String path, Located.Fields f, String key, Function<String, T> parse)
      throws SettingsException {
    Located value = f.fields().get(key);
    if (value == null) {
      throw new SettingsException(file, f.line(), path + " has no \"" + key + "\"");
    }
    return text(path + "." + key, value, parse);
  }

  private <T> T text(String path, Located value, Function<String, T> parse)
      throws SettingsException {
    if (!(value instanceof Located.Scalar s) || !s.value().isTextual()) {
      throw wrongType(path, value, "a text in quotes");
    }
    return convert(path, value, s.value().textValue(), parse);
  }

  private <A, T> T convert(String path, Located at, A value, Function<A, T> parse)
      throws SettingsException {
    try {
      return parse.apply(value);
    } catch (IllegalArgumentException e) {
      throw new SettingsException(file, at.line(), path + ": " + e.getMessage());
    }
  }

  private SettingsException wrongType(String path, Located value, String expected) {
    return new SettingsException(
        file, value.line(), path + ": found " + value.describe() + "; expected " + expected);
  }

  private SettingsException unknown(String path, String key, int line, List<String> known) {
    String hint =
        NearMiss.of(key, known)
            .map(k -> "; did you mean \"" + k + "\"?")
            .orElse("; expected one of " + String.join(", ", known));
    return new SettingsException(file, line, path + ": unknown field \"" + key + "\"" + hint);
  }

  private static int lineOfFirstWord(Located.Fields fields, String message) {
    Located value = fields.fields().get(message.split(" ", 2)[0]);
    return value == null ? fields.line() : value.line();
  }
}
