package io.cactusspring.processtests;

import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.ReleaseNote;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Names, addresses and configuration files of a small cell.
 *
 * @param zones names of the zones
 * @param hostsPerZone number of entry hosts in each zone
 * @param workers number of workers, assigned to the zones round-robin
 * @param executors number of executors, assigned to the zones round-robin
 * @param firstPort first of {@link #portCount} consecutive ports
 */
record CellLayout(List<String> zones, int hostsPerZone, int workers, int executors, int firstPort) {
  static final int SLOTS = 8;
  static final int CONNECTIONS = 60;
  static final long WORKER_MILLI_PROCESSORS = 8_000;
  static final long WORKER_MEMORY_MIB = 16_384;

  private static final int AUTHORITY_MILLIS = 1_500;
  private static final int TAKEOVER_MILLIS = 2_500;
  private static final int LEASE_MILLIS = 4_000;
  private static final int WORKER_SYNC_MILLIS = 500;
  private static final int SNAPSHOT_EVERY_RECORDS = 100;

  /** Number of most recent records that the platform's log is guaranteed to retain. */
  static final int KEEP_RECORDS = 200;

  int portCount() {
    return 2 + workers + executors + 2 * entryHosts();
  }

  int entryHosts() {
    return zones.size() * hostsPerZone;
  }

  String logAddress() {
    return address(0);
  }

  String hostsAddress() {
    return address(1);
  }

  String workerAddress(int index) {
    return address(2 + index);
  }

  String executorAddress(int index) {
    return address(2 + workers + index);
  }

  String callerAddress(int index) {
    return address(2 + workers + executors + index);
  }

  String peerAddress(int index) {
    return address(2 + workers + executors + entryHosts() + index);
  }

  String entryName(int index) {
    return zoneOfEntryHost(index) + "-" + (index % hostsPerZone + 1);
  }

  /**
   * Returns the content of the host list file, as JSON.
   *
   * @param executorAddresses addresses at which entry hosts connect to the executors
   */
  String hostsFile(List<String> executorAddresses) {
    String workerList =
        IntStream.range(0, workers).mapToObj(this::worker).collect(Collectors.joining(",\n"));
    String executorList =
        IntStream.range(0, executors)
            .mapToObj(i -> executor(i, executorAddresses.get(i)))
            .collect(Collectors.joining(",\n"));
    return "{\"workers\":[" + workerList + "],\"endpoints\":[" + executorList + "]}";
  }

  /**
   * Returns the content of an entry host's settings file.
   *
   * @param platformLog address at which the entry host connects to the log
   * @param peerAddress address at which the entry host connects to the peer of a given index
   */
  String settingsFile(int index, String platformLog, IntFunction<String> peerAddress) {
    return """
        {
          "name": "%s", "zone": "%s", "region": "riga",
          "callerAddress": "%s", "peerAddress": "%s",
          "platformLog": "%s", "hostList": "%s",
          "bootstrapKey": {"name": "boot", "salt": "%s", "hash": "%s"},
          "authorityMillis": %d, "takeoverMillis": %d, "leaseMillis": %d, "workerSyncMillis": %d,
          "snapshotEveryRecords": %d, "keepRecords": %d,
          "peers": [%s]
        }
        """
        .formatted(
            entryName(index),
            zoneOfEntryHost(index),
            callerAddress(index),
            peerAddress(index),
            platformLog,
            hostsAddress(),
            TestKeys.SALT,
            TestKeys.hash("boot"),
            AUTHORITY_MILLIS,
            TAKEOVER_MILLIS,
            LEASE_MILLIS,
            WORKER_SYNC_MILLIS,
            SNAPSHOT_EVERY_RECORDS,
            KEEP_RECORDS,
            peers(index, peerAddress));
  }

  /** Returns the release note that configures the cell of every test. */
  ReleaseNote initialNote() {
    List<ConfigItem> items = new ArrayList<>();
    zones.forEach(zone -> items.add(new ConfigItem.Zone(zone, "riga", 1, entryHostsOf(zone))));
    items.add(new ConfigItem.Team("counter", 4, 200, false));
    items.add(new ConfigItem.Team("plans", 2, 100, false));
    items.add(TestKeys.ofOperator("ops"));
    items.add(TestKeys.ofTeam("counter-key", "counter"));
    items.add(TestKeys.ofTeam("late-key", "counter"));
    items.add(TestKeys.ofTeam("plans-key", "plans"));
    items.add(new ConfigItem.Service("ordering", "counter", 0, null));
    List<Change> changes = items.stream().<Change>map(Change.Add::new).toList();
    return new ReleaseNote("first", "boot", changes);
  }

  private String zoneOfEntryHost(int index) {
    return zones.get(index / hostsPerZone);
  }

  private List<String> entryHostsOf(String zone) {
    return IntStream.rangeClosed(1, hostsPerZone).mapToObj(i -> zone + "-" + i).toList();
  }

  private String zoneOf(int index) {
    return zones.get(index % zones.size());
  }

  private String worker(int index) {
    return """
        {"name":"w%d","zone":"%s","rack":"r1","address":"%s","total":\
        {"milliProcessors":%d,"memoryMib":%d,"accelerators":0},"leaving":false}"""
        .formatted(
            index, zoneOf(index), workerAddress(index), WORKER_MILLI_PROCESSORS, WORKER_MEMORY_MIB);
  }

  private String executor(int index, String address) {
    return """
        {"name":"x%d","zone":"%s","service":"ordering","address":"%s",\
        "slots":%d,"connections":%d,"leaving":false}"""
        .formatted(index, zoneOf(index), address, SLOTS, CONNECTIONS);
  }

  private String peers(int index, IntFunction<String> peerAddress) {
    return IntStream.range(0, entryHosts())
        .filter(i -> i != index)
        .mapToObj(i -> peer(i, peerAddress.apply(i)))
        .collect(Collectors.joining(", "));
  }

  private String peer(int index, String address) {
    return Stream.of(
            "\"name\": \"" + entryName(index) + "\"",
            "\"zone\": \"" + zoneOfEntryHost(index) + "\"",
            "\"region\": \"riga\"",
            "\"address\": \"" + address + "\"")
        .collect(Collectors.joining(", ", "{", "}"));
  }

  private String address(int offset) {
    return "127.0.0.1:" + (firstPort + offset);
  }
}
