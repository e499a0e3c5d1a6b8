package io.cactusspring.benchmarks.slopes;

import io.cactusspring.benchmarks.Table;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Cost of each role on an entry host at the target sizes, extrapolated from the slopes. */
final class Capacity {
  // Target sizes.
  private static final int WORKERS = 1_500;
  private static final int TASKS = 12_000;

  /** Running tasks plus ended runs that the state retains. */
  private static final int RETAINED_RUNS = TASKS + 20_000;

  private static final int TEAMS = 41;
  private static final int ZONES = 8;
  private static final int JOBS_PER_DAY = 11_000;
  private static final double PEAK_STARTS_PER_SECOND = 490;
  private static final int NOTES_PER_DAY = 1_800;

  /** Executors per zone in the present deployments: about 30 over three zones. */
  private static final int ENDPOINTS_PER_ZONE = 10;

  // Budgets of one entry host: fraction of a core and bytes per second.
  private static final double CORE_BUDGET = 0.035;
  private static final double BYTES_PER_SECOND_BUDGET = 30_000;

  // Default settings of the daemon.
  private static final double HEARTBEATS_PER_SECOND = 4;
  private static final double HINTS_PER_SECOND = 1;

  /**
   * Loads that a host reports per team: one for its requests and one for the tasks of its shard.
   */
  private static final int TEAM_LOADS_PER_HOST = 2;

  private static final double SYNC_SECONDS = 3;
  private static final double RECORDS_PER_SNAPSHOT = 20_000;

  /**
   * Ticks of a shard owner. All records due in a tick form one append, with starts and ends in
   * separate records.
   */
  private static final double TICKS_PER_SECOND = 20;

  /** Value used for "several hundred appends a second", the target for the log. */
  private static final double LOG_APPENDS_PER_SECOND = 300;

  private static final int RECORDS_PER_APPEND = 2;

  private static final double DAY_SECONDS = 86_400;
  private static final double SECONDS_PER_MICRO = 1e-6;

  private final Map<String, Slope> slopes;
  private final Table table =
      new Table("capacity", "role", "quantity", "1 host a zone", "2", "4", "budget");

  Capacity(List<Slope> slopes) {
    this.slopes = slopes.stream().collect(Collectors.toMap(Slope::name, Function.identity()));
    fill();
  }

  Table table() {
    return table;
  }

  private Slope slope(String name) {
    return slopes.get(name);
  }

  /** Number of entry hosts in the cell and the work of each, for a number of hosts per zone. */
  private record Hosts(int perZone) {
    int all() {
      return perZone * ZONES;
    }

    double workers() {
      return (double) WORKERS / all();
    }

    double peakStarts() {
      return PEAK_STARTS_PER_SECOND / all();
    }
  }

  private void fill() {
    row("placement", "core share at the peak of starts", CORE_BUDGET, this::placementCore);
    row("placement", "core share of lease renewal", CORE_BUDGET, this::syncCore);
    row("placement", "bytes/s of lease renewal", BYTES_PER_SECOND_BUDGET, this::syncBytes);
    row("run records", "core share of replay at the peak", CORE_BUDGET, h -> replayCore());
    row(
        "run records",
        "bytes/s read at the peak",
        BYTES_PER_SECOND_BUDGET,
        this::recordBytesAtPeak);
    row(
        "run records",
        "bytes/s read over the day",
        BYTES_PER_SECOND_BUDGET,
        h -> recordBytesOverDay());
    row(
        "run records",
        "appends/s of all shards at the peak",
        LOG_APPENDS_PER_SECOND,
        this::appends);
    row("configuration", "bytes/s over the day", BYTES_PER_SECOND_BUDGET, h -> noteBytes());
    row("configuration", "core share over the day", CORE_BUDGET, h -> noteCore());
    row("membership", "bytes/s sent", BYTES_PER_SECOND_BUDGET, this::heartbeatBytes);
    row(
        "request routing",
        "bytes/s of endpoint hints",
        BYTES_PER_SECOND_BUDGET,
        this::endpointBytes);
    row("request routing", "requests/s within the core share", 0, h -> requestsWithinBudget());
    row("snapshots", "bytes of one", 0, h -> slope("snapshot-bytes").costAt(RETAINED_RUNS));
    row(
        "snapshots",
        "ms to write, by one host",
        0,
        h -> slope("snapshot-write").costAt(RETAINED_RUNS));
    row(
        "snapshots",
        "ms to restore, on a new host",
        0,
        h -> slope("snapshot-restore").costAt(RETAINED_RUNS));
    row("snapshots", "bytes/s read over the day", BYTES_PER_SECOND_BUDGET, h -> snapshotBytes());
    row(
        "snapshots",
        "bytes/s read at the peak",
        BYTES_PER_SECOND_BUDGET,
        this::snapshotBytesAtPeak);
    row(
        "memory",
        "heap of the replayed state MB",
        0,
        h -> slope("state-memory").costAt(RETAINED_RUNS) / 1e6);
    row("memory", "heap of its placers MB", 0, this::placerMegabytes);
    row("all", "core share at the peak", CORE_BUDGET, this::core);
    row("all", "bytes/s at the peak", BYTES_PER_SECOND_BUDGET, this::bytes);
  }

  private void row(String role, String quantity, double budget, Function<Hosts, Double> cost) {
    table.add(
        role,
        quantity,
        SlopeReport.number(cost.apply(new Hosts(1))),
        SlopeReport.number(cost.apply(new Hosts(2))),
        SlopeReport.number(cost.apply(new Hosts(4))),
        budget == 0 ? "" : SlopeReport.number(budget));
  }

  private double placementCore(Hosts hosts) {
    return slope("placement-time").costAt(hosts.workers()) * SECONDS_PER_MICRO * hosts.peakStarts();
  }

  private double syncCore(Hosts hosts) {
    double each = slope("sync-time").costAt((double) TASKS / WORKERS);
    return each * SECONDS_PER_MICRO * hosts.workers() / SYNC_SECONDS;
  }

  private double syncBytes(Hosts hosts) {
    return slope("sync-bytes").costAt((double) TASKS / WORKERS) * hosts.workers() / SYNC_SECONDS;
  }

  /** Every entry host replays the records of all hosts. */
  private double replayCore() {
    return slope("replay-job").costAt(RETAINED_RUNS) * SECONDS_PER_MICRO * PEAK_STARTS_PER_SECOND;
  }

  private double recordBytesAtPeak(Hosts hosts) {
    double records = Math.min(appends(hosts), PEAK_STARTS_PER_SECOND);
    double starts = slope("started-bytes").costAtZero() * records;
    double ends = slope("ended-bytes").costAtZero() * records;
    double each = slope("started-bytes").costPerUnit() + slope("ended-bytes").costPerUnit();
    return starts + ends + each * PEAK_STARTS_PER_SECOND;
  }

  private double recordBytesOverDay() {
    double job =
        slope("submission-bytes").costAt(200)
            + slope("started-bytes").costAt(1)
            + slope("ended-bytes").costAt(1);
    return job * JOBS_PER_DAY / DAY_SECONDS;
  }

  /**
   * Each host owns one shard and makes one append in each tick in which a task started or ended.
   */
  private double appends(Hosts hosts) {
    return Math.min(TICKS_PER_SECOND, 2 * hosts.peakStarts()) * hosts.all();
  }

  private double noteBytes() {
    return slope("note-bytes").costAt(1) * NOTES_PER_DAY / DAY_SECONDS;
  }

  private double noteCore() {
    return slope("replay-note").costAt(200) * SECONDS_PER_MICRO * NOTES_PER_DAY / DAY_SECONDS;
  }

  private double heartbeatBytes(Hosts hosts) {
    double plain = HeartbeatSlopes.bytes(0, 0, 0) * (HEARTBEATS_PER_SECOND - HINTS_PER_SECOND);
    double hints = slope("heartbeat-bytes").costAt(TEAMS * TEAM_LOADS_PER_HOST) * HINTS_PER_SECOND;
    return (plain + hints) * (hosts.all() - 1);
  }

  private double endpointBytes(Hosts hosts) {
    return slope("heartbeat-endpoint-bytes").costPerUnit()
        * ENDPOINTS_PER_ZONE
        * HINTS_PER_SECOND
        * (hosts.all() - 1);
  }

  private double requestsWithinBudget() {
    return CORE_BUDGET / (slope("request-time").costAt(ENDPOINTS_PER_ZONE) * SECONDS_PER_MICRO);
  }

  private double snapshotBytes() {
    double records = 3.0 * JOBS_PER_DAY + NOTES_PER_DAY;
    return slope("snapshot-bytes").costAt(RETAINED_RUNS)
        * records
        / RECORDS_PER_SNAPSHOT
        / DAY_SECONDS;
  }

  private double snapshotBytesAtPeak(Hosts hosts) {
    double records = Math.min(appends(hosts) * RECORDS_PER_APPEND, 2 * PEAK_STARTS_PER_SECOND);
    return slope("snapshot-bytes").costAt(RETAINED_RUNS) * records / RECORDS_PER_SNAPSHOT;
  }

  private double placerMegabytes(Hosts hosts) {
    return slope("placement-memory").costAt((double) TASKS / hosts.all()) / 1e6;
  }

  private double core(Hosts hosts) {
    return placementCore(hosts) + syncCore(hosts) + replayCore() + noteCore();
  }

  private double bytes(Hosts hosts) {
    return syncBytes(hosts)
        + recordBytesAtPeak(hosts)
        + noteBytes()
        + heartbeatBytes(hosts)
        + endpointBytes(hosts)
        + snapshotBytesAtPeak(hosts);
  }
}
