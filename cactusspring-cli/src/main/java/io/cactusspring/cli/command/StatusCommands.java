package io.cactusspring.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.client.Call;
import io.cactusspring.cli.client.Call.ResendPolicy;
import io.cactusspring.cli.command.Connection.Responses;
import io.cactusspring.cli.output.Result;
import io.cactusspring.cli.output.Table;
import io.cactusspring.cli.wire.ConfigurationView;
import io.cactusspring.cli.wire.HostStatus;
import io.cactusspring.core.model.Resources;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Commands that print the state of entry hosts, teams, keys, workers and waiting runs. */
final class StatusCommands {
  private static final double MILLIS_PER_UNIT = 1_000.0;
  private static final Set<String> HIDDEN_FIELDS = Set.of("kind", "name", "salt", "hash");

  private final Connection connection;

  StatusCommands(Connection connection) {
    this.connection = connection;
  }

  Result status() throws CliException {
    HostStatus s = fetch();
    Table peers = Table.of("PEER", "REVISION", "HEARD MS AGO");
    s.peers().forEach(p -> peers.row(p.name(), p.revision(), p.heardMillisAgo()));
    String text =
        "%s of zone %s, incarnation %s: %s\nrevision %d, log read up to offset %d as of %d ms ago\nowns %s"
            .formatted(
                s.host(),
                s.zone(),
                s.incarnation(),
                s.ready() ? "ready" : "not ready",
                s.revision(),
                s.nextOffset(),
                s.logAgeMillis(),
                s.ownedShards().isEmpty() ? "no shard" : String.join(", ", s.ownedShards()));
    return Result.ok(s, s.peers().isEmpty() ? text : text + "\n" + peers);
  }

  Result teams() throws CliException {
    List<HostStatus.Team> teams = fetch().teams();
    Table table = Table.of("TEAM", "SHARE", "MAX RUNNING", "RUNNING", "BUDGET HERE", "WAITING");
    teams.forEach(
        t -> table.row(t.name(), t.share(), t.maxRunning(), t.running(), t.budget(), t.waiting()));
    return Result.ok(teams, table.toString());
  }

  Result workers() throws CliException {
    Responses<HostStatus> all = fetchAll();
    List<HostStatus.Worker> workers =
        all.responses().stream()
            .flatMap(s -> s.workers().stream())
            .sorted(Comparator.comparing(HostStatus.Worker::name))
            .toList();
    Table table =
        Table.of("WORKER", "SHARD", "STATE", "TASKS", "CPUS", "MEMORY MIB", "ACCELERATORS");
    workers.forEach(w -> addRow(table, w));
    return Result.ok(workers, table + shardSummary(all));
  }

  private static void addRow(Table table, HostStatus.Worker w) {
    Resources used = w.committed();
    Resources total = w.total();
    table.row(
        w.name(),
        w.shard(),
        w.state(),
        w.tasks(),
        "%.1f/%.1f"
            .formatted(
                used.milliProcessors() / MILLIS_PER_UNIT,
                total.milliProcessors() / MILLIS_PER_UNIT),
        used.memoryMib() + "/" + total.memoryMib(),
        used.accelerators() + "/" + total.accelerators());
  }

  Result queue() throws CliException {
    Responses<HostStatus> all = fetchAll();
    List<HostStatus.Waiting> queue =
        all.responses().stream().flatMap(s -> s.queue().stream()).toList();
    Table table = Table.of("RUN", "TEAM", "WAITS FOR");
    queue.forEach(w -> table.row(w.run(), w.team(), w.reason()));
    return Result.ok(queue, table + shardSummary(all));
  }

  Result config(Command.Config c) throws CliException {
    ConfigurationView view =
        connection.read(Call.get("/v1/configuration"), ConfigurationView.class);
    List<ConfigurationView.Item> items = c.kind().map(view::ofKind).orElse(view.items());
    Table table = Table.of("ITEM", "REVISION", "OPERATOR", "NOTE", "FIELDS");
    items.forEach(i -> table.row(i.path(), i.revision(), i.operator(), i.note(), fields(i.item())));
    return Result.ok(items, table + "\nrevision " + view.revision());
  }

  private static String fields(JsonNode item) {
    return item.properties().stream()
        .filter(e -> !HIDDEN_FIELDS.contains(e.getKey()) && !e.getValue().isNull())
        .map(e -> e.getKey() + "=" + e.getValue())
        .collect(Collectors.joining(" "));
  }

  Result drain() throws CliException {
    int hosts = connection.urls().size();
    if (hosts != 1) {
      throw new CliException(
          ExitCode.BAD_INPUT, "drain takes exactly one entry host; " + hosts + " given");
    }
    connection.send(Call.post("/v1/drain").json(new byte[0]).resendPolicy(ResendPolicy.NEVER));
    String host = connection.urls().getFirst().toString();
    return Result.ok(new Draining(host), host + " is draining");
  }

  /** JSON result of a drain. */
  record Draining(String draining) {}

  /** Queries all hosts: each reports only the workers and waiting runs of the shards it owns. */
  private Responses<HostStatus> fetchAll() throws CliException {
    return connection.readAll(Call.get("/v1/status"), HostStatus.class);
  }

  /** Returns which shards the responses cover and which hosts failed. */
  private static String shardSummary(Responses<HostStatus> all) {
    String owned =
        all.responses().stream()
            .flatMap(s -> s.ownedShards().stream())
            .sorted()
            .collect(Collectors.joining(", "));
    String failed =
        all.failures().stream()
            .map(e -> "\nnot included: " + e.getMessage())
            .collect(Collectors.joining());
    return "\nshards of the queried hosts: " + (owned.isEmpty() ? "none" : owned) + failed;
  }

  private HostStatus fetch() throws CliException {
    return connection.read(Call.get("/v1/status"), HostStatus.class);
  }
}
