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

/**
 * Converts a parsed settings file to {@link DaemonSettings}; rejects unknown, missing and invalid
 * fields.
 */
final class SettingsBinder {
  private static final List<String> PEER_KEYS = List.of("name", "zone", "region", "address");
  private static final List<String> BOOTSTRAP_KEY_KEYS = List.of("name", "salt", "hash");
  private static final List<String> TLS_KEYS = List.of("certificate", "key", "authorities");

  private final Path file;
  private final DaemonSettings.Builder builder = DaemonSettings.builder();

  SettingsBinder(Path file) {
    this.file = file;
  }

  DaemonSettings bind(LocatedValue root) throws SettingsException {
    List<String> keys = Arrays.stream(SettingsField.values()).map(SettingsField::key).toList();
    LocatedValue.ObjectValue fields = fields("the file", root, keys);
    checkRequired(fields);
    for (Map.Entry<String, LocatedValue> e : fields.fields().entrySet()) {
      bind(SettingsField.ofKey(e.getKey()).orElseThrow(), e.getValue());
    }
    try {
      return builder.build();
    } catch (IllegalArgumentException e) {
      throw new SettingsException(file, lineOfNamedField(fields, e.getMessage()), e.getMessage());
    }
  }

  private void checkRequired(LocatedValue.ObjectValue fields) throws SettingsException {
    String missing =
        Arrays.stream(SettingsField.values())
            .filter(SettingsField::required)
            .map(SettingsField::key)
            .filter(k -> !fields.fields().containsKey(k))
            .collect(Collectors.joining(", "));
    if (!missing.isEmpty()) {
      throw new SettingsException(file, fields.line(), "missing required fields: " + missing);
    }
  }

  private void bind(SettingsField field, LocatedValue value) throws SettingsException {
    switch (field.kind()) {
      case NUMBER -> bindNumber(field, value);
      case ADDRESS -> bindAddress(field, value);
      case NAME_TEXT -> bindName(field, value);
      case PEER_LIST -> bindPeers(value);
      case KEY -> builder.bootstrapKey(bootstrapKey(field.key(), value));
      case TLS -> bindTls(field, value);
    }
  }

  private void bindNumber(SettingsField field, LocatedValue value) throws SettingsException {
    boolean isWholeNumber =
        value instanceof LocatedValue.ScalarValue s
            && s.value().isIntegralNumber()
            && s.value().canConvertToLong();
    if (!isWholeNumber) {
      throw wrongType(field.key(), value, "a whole number");
    }
    long number = ((LocatedValue.ScalarValue) value).value().longValue();
    convert(field.key(), value, number, n -> builder.number(field, n));
  }

  private void bindAddress(SettingsField field, LocatedValue value) throws SettingsException {
    Address address = text(field.key(), value, Address::parse);
    switch (field) {
      case CALLER_ADDRESS -> builder.callerAddress(address);
      case PEER_ADDRESS -> builder.peerAddress(address);
      case PLATFORM_LOG -> builder.platformLog(address);
      case HOST_LIST -> builder.hostList(address);
      default -> throw new AssertionError(field);
    }
  }

  private void bindName(SettingsField field, LocatedValue value) throws SettingsException {
    switch (field) {
      case NAME -> text(field.key(), value, builder::name);
      case ZONE -> text(field.key(), value, s -> builder.zone(new AvailabilityZone(s)));
      case REGION -> text(field.key(), value, builder::region);
      case CELL -> text(field.key(), value, builder::cell);
      default -> throw new AssertionError(field);
    }
  }

  private void bindPeers(LocatedValue value) throws SettingsException {
    if (!(value instanceof LocatedValue.ArrayValue items)) {
      throw wrongType("peers", value, "a list");
    }
    List<PeerSettings> peers = new ArrayList<>();
    for (int i = 0; i < items.items().size(); i++) {
      peers.add(peer("peers[" + i + "]", items.items().get(i)));
    }
    builder.peers(peers);
  }

  private PeerSettings peer(String path, LocatedValue value) throws SettingsException {
    LocatedValue.ObjectValue f = fields(path, value, PEER_KEYS);
    String name = required(path, f, "name", Function.identity());
    AvailabilityZone zone = required(path, f, "zone", AvailabilityZone::new);
    String region = required(path, f, "region", Function.identity());
    Address address = required(path, f, "address", Address::parse);
    return convert(path, f, name, n -> new PeerSettings(n, zone, region, address));
  }

  private BootstrapKey bootstrapKey(String path, LocatedValue value) throws SettingsException {
    LocatedValue.ObjectValue f = fields(path, value, BOOTSTRAP_KEY_KEYS);
    String name = required(path, f, "name", Function.identity());
    String salt = required(path, f, "salt", Function.identity());
    String hash = required(path, f, "hash", Function.identity());
    return convert(path, f, name, n -> new BootstrapKey(n, salt, hash));
  }

  private void bindTls(SettingsField field, LocatedValue value) throws SettingsException {
    LocatedValue.ObjectValue f = fields(field.key(), value, TLS_KEYS);
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

  private LocatedValue.ObjectValue fields(String path, LocatedValue value, List<String> known)
      throws SettingsException {
    if (!(value instanceof LocatedValue.ObjectValue f)) {
      throw wrongType(path, value, "an object");
    }
    for (Map.Entry<String, LocatedValue> e : f.fields().entrySet()) {
      if (!known.contains(e.getKey())) {
        throw unknownField(path, e.getKey(), e.getValue().line(), known);
      }
    }
    return f;
  }

  private <T> T required(
      String path, LocatedValue.ObjectValue f, String key, Function<String, T> parse)
      throws SettingsException {
    LocatedValue value = f.fields().get(key);
    if (value == null) {
      throw new SettingsException(file, f.line(), path + " has no \"" + key + "\"");
    }
    return text(path + "." + key, value, parse);
  }

  private <T> T text(String path, LocatedValue value, Function<String, T> parse)
      throws SettingsException {
    if (!(value instanceof LocatedValue.ScalarValue s) || !s.value().isTextual()) {
      throw wrongType(path, value, "a string");
    }
    return convert(path, value, s.value().textValue(), parse);
  }

  private <A, T> T convert(String path, LocatedValue source, A value, Function<A, T> parse)
      throws SettingsException {
    try {
      return parse.apply(value);
    } catch (IllegalArgumentException e) {
      throw new SettingsException(file, source.line(), path + ": " + e.getMessage());
    }
  }

  private SettingsException wrongType(String path, LocatedValue value, String expected) {
    return new SettingsException(
        file, value.line(), path + ": found " + value.describe() + "; expected " + expected);
  }

  private SettingsException unknownField(String path, String key, int line, List<String> known) {
    String suggestion =
        NameSuggestion.closest(key, known)
            .map(k -> "; did you mean \"" + k + "\"?")
            .orElse("; expected one of " + String.join(", ", known));
    return new SettingsException(file, line, path + ": unknown field \"" + key + "\"" + suggestion);
  }

  /**
   * Finds the line of the field that a message is about. Messages of {@link SettingsChecks} start
   * with the field's key; for any other message the line of the object is returned.
   */
  private static int lineOfNamedField(LocatedValue.ObjectValue fields, String message) {
    LocatedValue value = fields.fields().get(message.split(" ", 2)[0]);
    return value == null ? fields.line() : value.line();
  }
}
