package io.cactusspring.benchmarks.slopes;

import io.cactusspring.benchmarks.Table;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The sizes of the target, and what each role costs an entry host there. */
final class Capacity {
  // Sizes of the target.
  private static final int WORKERS = 1_500;
  private static final int TASKS = 12_000;

  /** Tasks that run, and ended runs that are remembered. */
  private static final int HELD_RUNS = TASKS + 20_000;

  private static final int TEAMS = 41;
  private static final int ZONES = 8;
  private static final int JOBS_A_DAY = 11_000;
  private static final double PEAK_STARTS = 490;
  private static final int NOTES_A_DAY = 1_800;

  /** Executors that a zone serves today: about 30 over three zones. */
  private static final int ENDPOINTS_A_ZONE = 10;

  // What an entry host may spend.
  private static final double CORE_BUDGET = 0.035;
  private static final double BYTES_BUDGET = 30_000;

  // Defaults of the daemon.
  private static final double HEARTBEATS = 4;
  private static final double HINTS = 1;

  /** A host reports a team's load for its requests and for its shard's tasks. */
  private static final int ACCOUNTS_A_HOST = 2;

  private static final double SYNC_SECONDS = 3;
  private static final double SNAPSHOT_RECORDS = 20_000;

  /** Owners tick as often; what is due in a tick is one append, with starts and ends apart. */
  private static final double TICKS = 20;

  /** What "several hundred appends a second" is taken to mean. */
  private static final double LOG_APPENDS = 300;

  private static final int RECORDS_AN_APPEND = 2;

  private static final double DAY_SECONDS = 86_400;
  private static final double MICRO = 1e-6;

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

  /** Entry hosts of the cell and shares of its work, for a number of hosts in each zone. */
  private record Hosts(int aZone) {
    int all() {
      return aZone * ZONES;
    }

    double workers() {
      return (double) WORKERS / all();
    }

    double peakStarts() {
      return PEAK_STARTS / all();
    }
  }

  private void fill() {
    row("placement", "core share at the peak of starts", CORE_BUDGET, this::placementCore);
    row("placement", "core share of lease renewal", CORE_BUDGET, this::syncCore);
    row("placement", "bytes/s of lease renewal", BYTES_BUDGET, this::syncBytes);
    row("run records", "core share of replay at the peak", CORE_BUDGET, h -> replayCore());
    row("run records", "bytes/s read at the peak", BYTES_BUDGET, this::recordBytesAtPeak);
    row("run records", "bytes/s read over the day", BYTES_BUDGET, h -> recordBytesOverDay());
    row("run records", "appends/s of all shards at the peak", LOG_APPENDS, this::appends);
    row("configuration", "bytes/s over the day", BYTES_BUDGET, h -> noteBytes());
    row("configuration", "core share over the day", CORE_BUDGET, h -> noteCore());
    row("membership", "bytes/s sent", BYTES_BUDGET, this::heartbeatBytes);
    row("request routing", "bytes/s of endpoint hints", BYTES_BUDGET, this::endpointBytes);
    row("request routing", "requests/s within the core share", 0, h -> requestsWithinBudget());
    row("snapshots", "bytes of one", 0, h -> slope("snapshot-bytes").at(HELD_RUNS));
    row("snapshots", "ms to write, by one host", 0, h -> slope("snapshot-write").at(HELD_RUNS));
    row(
        "snapshots",
        "ms to restore, on a new host",
        0,
        h -> slope("snapshot-restore").at(HELD_RUNS));
    row("snapshots", "bytes/s read over the day", BYTES_BUDGET, h -> snapshotBytes());
    row("snapshots", "bytes/s read at the peak", BYTES_BUDGET, this::snapshotBytesAtPeak);
    row(
        "memory",
        "heap of the replayed state MB",
        0,
        h -> slope("state-memory").at(HELD_RUNS) / 1e6);
    row("memory", "heap of its placers MB", 0, this::placerMegabytes);
    row("all", "core share at the peak", CORE_BUDGET, this::core);
    row("all", "bytes/s at the peak", BYTES_BUDGET, this::bytes);
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
    return slope("placement-time").at(hosts.workers()) * MICRO * hosts.peakStarts();
  }

  private double syncCore(Hosts hosts) {
    double each = slope("sync-time").at((double) TASKS / WORKERS);
    return each * MICRO * hosts.workers() / SYNC_SECONDS;
  }

  private double syncBytes(Hosts hosts) {
    return slope("sync-bytes").at((double) TASKS / WORKERS) * hosts.workers() / SYNC_SECONDS;
  }

  /** Every entry host replays the records of all. */
  private double replayCore() {
    return slope("replay-job").at(HELD_RUNS) * MICRO * PEAK_STARTS;
  }

  private double recordBytesAtPeak(Hosts hosts) {
    double records = Math.min(appends(hosts), PEAK_STARTS);
    double starts = slope("started-bytes").base() * records;
    double ends = slope("ended-bytes").base() * records;
    double each = slope("started-bytes").each() + slope("ended-bytes").each();
    return starts + ends + each * PEAK_STARTS;
  }

  private double recordBytesOverDay() {
    double job =
        slope("submission-bytes").at(200)
            + slope("started-bytes").at(1)
            + slope("ended-bytes").at(1);
    return job * JOBS_A_DAY / DAY_SECONDS;
  }

  /** Each host owns one shard and appends in each tick in which something started or ended. */
  private double appends(Hosts hosts) {
    return Math.min(TICKS, 2 * hosts.peakStarts()) * hosts.all();
  }

  private double noteBytes() {
    return slope("note-bytes").at(1) * NOTES_A_DAY / DAY_SECONDS;
  }

  private double noteCore() {
    return slope("replay-note").at(200) * MICRO * NOTES_A_DAY / DAY_SECONDS;
  }

  private double heartbeatBytes(Hosts hosts) {
    double plain = HeartbeatSlopes.bytes(0, 0, 0) * (HEARTBEATS - HINTS);
    double hints = slope("heartbeat-bytes").at(TEAMS * ACCOUNTS_A_HOST) * HINTS;
    return (plain + hints) * (hosts.all() - 1);
  }

  private double endpointBytes(Hosts hosts) {
    return slope("heartbeat-endpoint-bytes").each() * ENDPOINTS_A_ZONE * HINTS * (hosts.all() - 1);
  }

  private double requestsWithinBudget() {
    return CORE_BUDGET / (slope("request-time").at(ENDPOINTS_A_ZONE) * MICRO);
  }

  private double snapshotBytes() {
    double records = 3.0 * JOBS_A_DAY + NOTES_A_DAY;
    return slope("snapshot-bytes").at(HELD_RUNS) * records / SNAPSHOT_RECORDS / DAY_SECONDS;
  }

  private double snapshotBytesAtPeak(Hosts hosts) {
    double records = Math.min(appends(hosts) * RECORDS_AN_APPEND, 2 * PEAK_STARTS);
    return slope("snapshot-bytes").at(HELD_RUNS) * records / SNAPSHOT_RECORDS;
  }

  private double placerMegabytes(Hosts hosts) {
    return slope("placement-memory").at((double) TASKS / hosts.all()) / 1e6;
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
