package io.cactusspring.daemon.settings;

import static io.cactusspring.daemon.settings.SettingsField.Kind.ADDRESS;
import static io.cactusspring.daemon.settings.SettingsField.Kind.KEY;
import static io.cactusspring.daemon.settings.SettingsField.Kind.NAME_TEXT;
import static io.cactusspring.daemon.settings.SettingsField.Kind.NUMBER;
import static io.cactusspring.daemon.settings.SettingsField.Kind.PEER_LIST;
import static io.cactusspring.daemon.settings.SettingsField.Kind.TLS;

import java.util.Arrays;
import java.util.Optional;

/**
 * Every field of a settings file, with its unit, range and default.
 *
 * @since 0.1
 */
public enum SettingsField {
  NAME("name", NAME_TEXT, "Name of this entry host, unique in the cell."),
  ZONE("zone", NAME_TEXT, "Availability zone of this entry host."),
  REGION("region", NAME_TEXT, "Region of the availability zone."),
  CALLER_ADDRESS("callerAddress", ADDRESS, "Where callers and operators connect."),
  PEER_ADDRESS("peerAddress", ADDRESS, "Where the other entry hosts connect."),
  PLATFORM_LOG("platformLog", ADDRESS, "The platform's log service."),
  HOST_LIST("hostList", ADDRESS, "The platform's host list."),
  PEERS("peers", PEER_LIST, "The other entry hosts of the cell; empty for a single one."),
  BOOTSTRAP_KEY("bootstrapKey", KEY, "Operator's key valid until a release note adds one."),
  CELL("cell", NAME_TEXT, "default", "Name of the cell; peers of another cell are refused."),
  CALLER_TLS(
      "callerTls", TLS, "", "TLS of the port for callers and operators; unencrypted if absent."),
  PEER_TLS("peerTls", TLS, "", "Mutual TLS between entry hosts; unencrypted if absent."),

  HEARTBEAT_MILLIS("heartbeatMillis", "ms", 50, 5_000, 250, "Time between heartbeats to a peer."),
  AUTHORITY_MILLIS(
      "authorityMillis",
      "ms",
      500,
      60_000,
      3_000,
      "Maximum age of the evidence that no other host owns a shard, to start tasks on it."),
  TAKEOVER_MILLIS(
      "takeoverMillis",
      "ms",
      600,
      120_000,
      4_000,
      "Time without a heartbeat of a shard's owner before takeover; above authorityMillis."),
  RENEW_AUTHORITY_MILLIS(
      "renewAuthorityMillis",
      "ms",
      1_000,
      3_600_000,
      120_000,
      "Maximum age of that evidence, to renew leases of running tasks."),
  LEASE_MILLIS(
      "leaseMillis", "ms", 1_000, 600_000, 15_000, "Duration of a task's lease on its worker."),
  WORKER_SYNC_MILLIS(
      "workerSyncMillis", "ms", 100, 60_000, 3_000, "Time between calls to an idle worker."),
  CALL_TIMEOUT_MILLIS(
      "callTimeoutMillis",
      "ms",
      100,
      60_000,
      2_000,
      "Timeout of a call to a worker or the platform."),
  HOST_LIST_MILLIS(
      "hostListMillis", "ms", 100, 60_000, 1_000, "Time between reads of the host list."),
  LOG_WAIT_MILLIS("logWaitMillis", "ms", 50, 10_000, 1_000, "Maximum wait of one read of the log."),
  SNAPSHOT_EVERY_RECORDS(
      "snapshotEveryRecords",
      "records",
      100,
      10_000_000,
      20_000,
      "Records between two snapshots in the log."),
  KEEP_RECORDS(
      "keepRecords",
      "records",
      200,
      1_000_000,
      50_000,
      "Records kept in memory for peers that cannot reach the log; above snapshotEveryRecords."),
  DRAIN_MILLIS(
      "drainMillis", "ms", 0, 600_000, 30_000, "Maximum wait for open requests at shutdown."),
  WAITING_WEIGHT(
      "waitingWeight",
      "",
      0,
      100,
      50,
      "Weight of short waiting times in placement, against packing."),
  PACKING_WEIGHT(
      "packingWeight",
      "",
      0,
      100,
      50,
      "Weight of dense packing in placement, against waiting times."),
  MAX_HEADER_BYTES(
      "maxHeaderBytes", "bytes", 1_024, 65_536, 8_192, "Maximum size of a request's headers."),
  MAX_CONNECTIONS(
      "maxConnections",
      "connections",
      8,
      100_000,
      2_000,
      "Maximum number of open connections of callers."),
  READ_TIMEOUT_MILLIS(
      "readTimeoutMillis",
      "ms",
      100,
      120_000,
      10_000,
      "Maximum time a caller may take to send a request.");

  /** Type of a field's value. */
  public enum Kind {
    NAME_TEXT("name"),
    ADDRESS("IP:port"),
    PEER_LIST("list of {name, zone, region, address}"),
    KEY("{name, salt, hash}"),
    TLS("{certificate, key, authorities}"),
    NUMBER("whole number");

    private final String text;

    Kind(String text) {
      this.text = text;
    }

    /** Short description of the type for the documentation. */
    public String text() {
      return text;
    }
  }

  private final String key;
  private final Kind kind;
  private final String unit;
  private final long min;
  private final long max;
  private final Optional<String> defaultText;
  private final String purpose;

  /** A required field. */
  SettingsField(String key, Kind kind, String purpose) {
    this(key, kind, "", 0, 0, Optional.empty(), purpose);
  }

  /** An optional field that is not a number. */
  SettingsField(String key, Kind kind, String defaultText, String purpose) {
    this(key, kind, "", 0, 0, Optional.of(defaultText), purpose);
  }

  /** A number with a default. */
  SettingsField(String key, String unit, long min, long max, long defaultValue, String purpose) {
    this(key, NUMBER, unit, min, max, Optional.of(Long.toString(defaultValue)), purpose);
  }

  SettingsField(
      String key,
      Kind kind,
      String unit,
      long min,
      long max,
      Optional<String> defaultText,
      String purpose) {
    this.key = key;
    this.kind = kind;
    this.unit = unit;
    this.min = min;
    this.max = max;
    this.defaultText = defaultText;
    this.purpose = purpose;
  }

  /** Name of the field in a settings file. */
  public String key() {
    return key;
  }

  public Kind kind() {
    return kind;
  }

  /** Unit of a number, or empty. */
  public String unit() {
    return unit;
  }

  /** Smallest allowed value of a number. */
  public long min() {
    return min;
  }

  /** Largest allowed value of a number. */
  public long max() {
    return max;
  }

  public boolean required() {
    return defaultText.isEmpty();
  }

  /** Default as text; empty for a required field and for one that is off by default. */
  public String defaultText() {
    return defaultText.orElse("");
  }

  /** Purpose of the field, in one sentence. */
  public String purpose() {
    return purpose;
  }

  /** Default of a number. */
  long defaultNumber() {
    return Long.parseLong(defaultText());
  }

  static Optional<SettingsField> ofKey(String key) {
    return Arrays.stream(values()).filter(f -> f.key.equals(key)).findFirst();
  }
}
