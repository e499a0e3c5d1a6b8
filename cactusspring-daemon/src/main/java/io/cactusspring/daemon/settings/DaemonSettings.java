package io.cactusspring.daemon.settings;

import io.cactusspring.core.model.Arguments;
import io.cactusspring.core.model.AvailabilityZone;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of one entry host. {@link SettingsField} gives the unit, range and default of each
 * field.
 *
 * <pre>{@code
 * DaemonSettings settings =
 *     DaemonSettings.builder()
 *         .name("riga-a-1")
 *         .zone(new AvailabilityZone("riga-a"))
 *         .region("riga")
 *         .callerAddress(Address.parse("127.0.0.1:9001"))
 *         .peerAddress(Address.parse("127.0.0.1:9101"))
 *         .platformLog(Address.parse("127.0.0.1:7001"))
 *         .hostList(Address.parse("127.0.0.1:7002"))
 *         .bootstrapKey(key)
 *         .number(SettingsField.HEARTBEAT_MILLIS, 100)
 *         .build();
 * }</pre>
 *
 * @since 0.1
 */
public final class DaemonSettings {
  private final Builder values;
  private final Map<SettingsField, Long> numbers;

  private DaemonSettings(Builder values) {
    this.values = values;
    this.numbers = new EnumMap<>(values.numbers);
  }

  public static Builder builder() {
    return new Builder();
  }

  public String name() {
    return values.name;
  }

  public AvailabilityZone zone() {
    return values.zone;
  }

  public String region() {
    return values.region;
  }

  public String cell() {
    return values.cell;
  }

  public Address callerAddress() {
    return values.callerAddress;
  }

  public Address peerAddress() {
    return values.peerAddress;
  }

  public Address platformLog() {
    return values.platformLog;
  }

  public Address hostList() {
    return values.hostList;
  }

  public List<PeerSettings> peers() {
    return values.peers;
  }

  public BootstrapKey bootstrapKey() {
    return values.bootstrapKey;
  }

  public Optional<TlsSettings> callerTls() {
    return values.callerTls;
  }

  public Optional<TlsSettings> peerTls() {
    return values.peerTls;
  }

  public long heartbeatMillis() {
    return number(SettingsField.HEARTBEAT_MILLIS);
  }

  public long authorityMillis() {
    return number(SettingsField.AUTHORITY_MILLIS);
  }

  public long takeoverMillis() {
    return number(SettingsField.TAKEOVER_MILLIS);
  }

  public long renewAuthorityMillis() {
    return number(SettingsField.RENEW_AUTHORITY_MILLIS);
  }

  public long leaseMillis() {
    return number(SettingsField.LEASE_MILLIS);
  }

  public long workerSyncMillis() {
    return number(SettingsField.WORKER_SYNC_MILLIS);
  }

  public long callTimeoutMillis() {
    return number(SettingsField.CALL_TIMEOUT_MILLIS);
  }

  public long hostListMillis() {
    return number(SettingsField.HOST_LIST_MILLIS);
  }

  public long logWaitMillis() {
    return number(SettingsField.LOG_WAIT_MILLIS);
  }

  public long snapshotEveryRecords() {
    return number(SettingsField.SNAPSHOT_EVERY_RECORDS);
  }

  public long keepRecords() {
    return number(SettingsField.KEEP_RECORDS);
  }

  public long drainMillis() {
    return number(SettingsField.DRAIN_MILLIS);
  }

  public int waitingWeight() {
    return (int) number(SettingsField.WAITING_WEIGHT);
  }

  public int packingWeight() {
    return (int) number(SettingsField.PACKING_WEIGHT);
  }

  public int maxHeaderBytes() {
    return (int) number(SettingsField.MAX_HEADER_BYTES);
  }

  public int maxConnections() {
    return (int) number(SettingsField.MAX_CONNECTIONS);
  }

  public long readTimeoutMillis() {
    return number(SettingsField.READ_TIMEOUT_MILLIS);
  }

  /**
   * Returns the value of a numeric field in the field's unit, or the default if it is not set.
   *
   * @throws IllegalArgumentException if the field is not a number
   */
  public long number(SettingsField field) {
    Long value = numbers.get(field);
    return value == null ? field.defaultNumber() : value;
  }

  /** Builder of {@link DaemonSettings}. */
  public static final class Builder {
    private String name;
    private AvailabilityZone zone;
    private String region;
    private String cell = SettingsField.CELL.defaultText();
    private Address callerAddress;
    private Address peerAddress;
    private Address platformLog;
    private Address hostList;
    private List<PeerSettings> peers = List.of();
    private BootstrapKey bootstrapKey;
    private Optional<TlsSettings> callerTls = Optional.empty();
    private Optional<TlsSettings> peerTls = Optional.empty();
    private final Map<SettingsField, Long> numbers = new EnumMap<>(SettingsField.class);

    private Builder() {}

    private Builder(Builder other) {
      name = other.name;
      zone = other.zone;
      region = other.region;
      cell = other.cell;
      callerAddress = other.callerAddress;
      peerAddress = other.peerAddress;
      platformLog = other.platformLog;
      hostList = other.hostList;
      peers = other.peers;
      bootstrapKey = other.bootstrapKey;
      callerTls = other.callerTls;
      peerTls = other.peerTls;
      numbers.putAll(other.numbers);
    }

    public Builder name(String value) {
      name = Arguments.checkName("name", value);
      return this;
    }

    public Builder zone(AvailabilityZone value) {
      zone = Arguments.checkPresent("zone", value);
      return this;
    }

    public Builder region(String value) {
      region = Arguments.checkName("region", value);
      return this;
    }

    public Builder cell(String value) {
      cell = Arguments.checkName("cell", value);
      return this;
    }

    public Builder callerAddress(Address value) {
      callerAddress = Arguments.checkPresent("callerAddress", value);
      return this;
    }

    public Builder peerAddress(Address value) {
      peerAddress = Arguments.checkPresent("peerAddress", value);
      return this;
    }

    public Builder platformLog(Address value) {
      platformLog = Arguments.checkPresent("platformLog", value);
      return this;
    }

    public Builder hostList(Address value) {
      hostList = Arguments.checkPresent("hostList", value);
      return this;
    }

    public Builder peers(List<PeerSettings> value) {
      peers = List.copyOf(value);
      return this;
    }

    public Builder bootstrapKey(BootstrapKey value) {
      bootstrapKey = Arguments.checkPresent("bootstrapKey", value);
      return this;
    }

    public Builder callerTls(TlsSettings value) {
      callerTls = Optional.of(value);
      return this;
    }

    public Builder peerTls(TlsSettings value) {
      peerTls = Optional.of(value);
      return this;
    }

    /**
     * Sets a numeric field, in the field's unit.
     *
     * @throws IllegalArgumentException if the field is not a number or the value is out of range
     */
    public Builder number(SettingsField field, long value) {
      if (field.kind() != SettingsField.Kind.NUMBER) {
        throw new IllegalArgumentException(field.key() + " is not a number");
      }
      numbers.put(field, Arguments.checkRange(field.key(), value, field.min(), field.max()));
      return this;
    }

    /**
     * Checks the fields against each other and returns the settings.
     *
     * @throws IllegalArgumentException if a required field is missing or two fields contradict each
     *     other
     */
    public DaemonSettings build() {
      DaemonSettings s = new DaemonSettings(new Builder(this));
      SettingsChecks.check(s);
      return s;
    }
  }
}
