package io.cactusspring.processtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** A running cell: stand-ins and entry hosts, each a process on the loopback interface. */
final class Cell implements AutoCloseable {
  private static final Path BIN = Path.of("..", "bin").toAbsolutePath().normalize();

  private final CellLayout layout;
  private final Path directory;
  private final Optional<HostRelays> hostRelays;
  private final List<ManagedProcess> processes = new ArrayList<>();
  private final List<EntryHost> entryHosts = new ArrayList<>();

  /** The earliest retained offset and the next offset of the platform's log. */
  record LogState(long earliest, long next) {}

  private Cell(CellLayout layout, Path directory, Optional<HostRelays> hostRelays) {
    this.layout = layout;
    this.directory = directory;
    this.hostRelays = hostRelays;
  }

  static Builder builder(String... zones) {
    return new Builder(List.of(zones));
  }

  /** Builds a cell; by default with one entry host per zone, one worker and one executor. */
  static final class Builder {
    private final List<String> zones;
    private int hostsPerZone = 1;
    private int workers = 1;
    private int executors = 1;
    private List<Relay> executorRelays = List.of();
    private boolean relayedLinks;

    private Builder(List<String> zones) {
      this.zones = zones;
    }

    Builder hostsPerZone(int value) {
      hostsPerZone = value;
      return this;
    }

    Builder workers(int value) {
      workers = value;
      return this;
    }

    Builder executors(int value) {
      executors = value;
      return this;
    }

    /** Routes the entry hosts' connections to executors through relays, one per executor. */
    Builder executorRelays(Relay... relays) {
      executorRelays = List.of(relays);
      return this;
    }

    /**
     * Routes connections to the log and between entry hosts through relays, so that one entry host
     * can be isolated with {@link Cell#isolate}.
     */
    Builder relayedLinks() {
      relayedLinks = true;
      return this;
    }

    /** Starts the cell and waits until its initial note is in force on every entry host. */
    Cell start() throws Exception {
      CellLayout sized = new CellLayout(zones, hostsPerZone, workers, executors, 0);
      int firstPort = FreePorts.consecutive(sized.portCount());
      CellLayout layout = new CellLayout(zones, hostsPerZone, workers, executors, firstPort);
      Optional<HostRelays> hostRelays =
          relayedLinks ? Optional.of(HostRelays.open(layout)) : Optional.empty();
      Cell cell = new Cell(layout, Files.createTempDirectory("cactusspring-test"), hostRelays);
      try {
        cell.startAll(executorRelays);
        return cell;
      } catch (Exception | AssertionError e) {
        cell.close();
        throw e;
      }
    }
  }

  CellLayout layout() {
    return layout;
  }

  List<EntryHost> entryHosts() {
    return Collections.unmodifiableList(entryHosts);
  }

  /** Returns the entry host that owns the shard. */
  EntryHost ownerOf(String shard) throws Exception {
    List<EntryHost> owners = new ArrayList<>();
    Await.until(
        "an owner of " + shard,
        () -> {
          owners.clear();
          for (EntryHost host : entryHosts) {
            if (host.status("ops").ownedShards().contains(shard)) {
              owners.add(host);
            }
          }
          return owners.size() == 1;
        });
    return owners.get(0);
  }

  /** Kills an entry host and starts a new one at the same address, without its state. */
  EntryHost replace(EntryHost host) throws Exception {
    int index = entryHosts.indexOf(host);
    host.process().kill();
    EntryHost replacement = startEntryHost(index);
    entryHosts.set(index, replacement);
    return replacement;
  }

  /** Isolates an entry host from the log and its peers, but not from workers and executors. */
  void isolate(EntryHost host) {
    hostRelays.orElseThrow().isolate(entryHosts.indexOf(host));
  }

  void reconnect(EntryHost host) throws IOException {
    hostRelays.orElseThrow().reconnect(entryHosts.indexOf(host));
  }

  LogState logState() throws Exception {
    return Http.get(layout.logAddress(), "/admin").as(LogState.class);
  }

  void configureLog(String settings) throws Exception {
    Http.post(layout.logAddress(), "/admin", settings);
  }

  void updateHost(String name, String change) throws Exception {
    Http.post(layout.hostsAddress(), "/admin/hosts/" + name, change);
  }

  void configureExecutors(String settings) throws Exception {
    for (int i = 0; i < layout.executors(); i++) {
      Http.post(layout.executorAddress(i), "/admin", settings);
    }
  }

  /** Returns the combined history of all workers. */
  WorkerHistory workerHistory() throws Exception {
    List<TaskEvent> events = new ArrayList<>();
    List<WorkerHistory.Violations> violations = new ArrayList<>();
    for (int i = 0; i < layout.workers(); i++) {
      String address = layout.workerAddress(i);
      events.addAll(Http.get(address, "/admin/history").asListOf(TaskEvent.class));
      violations.add(Http.get(address, "/admin/violations").as(WorkerHistory.Violations.class));
    }
    return new WorkerHistory(events, violations);
  }

  /** Returns the executions that were started on any executor. */
  List<Execution> executions() throws Exception {
    List<Execution> executions = new ArrayList<>();
    for (int i = 0; i < layout.executors(); i++) {
      executions.addAll(executionsOf(i));
    }
    return executions;
  }

  List<Execution> executionsOf(int executor) throws Exception {
    return Http.get(layout.executorAddress(executor), "/admin/history").asListOf(Execution.class);
  }

  @Override
  public void close() {
    processes.forEach(ManagedProcess::close);
    hostRelays.ifPresent(Cell::close);
    try (Stream<Path> files = Files.walk(directory)) {
      files.sorted(Comparator.reverseOrder()).forEach(Cell::delete);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void startAll(List<Relay> relays) throws Exception {
    for (int i = 0; i < relays.size(); i++) {
      relays.get(i).forwardTo(layout.firstPort() + 2 + layout.workers() + i);
    }
    startStandIns(relays);
    for (int i = 0; i < layout.entryHosts(); i++) {
      entryHosts.add(startEntryHost(i));
    }
    for (EntryHost host : entryHosts) {
      Await.until(host.name() + " is ready; " + host.process().output(), host::isReady);
    }
    Http.Response response = entryHosts.get(0).apply(layout.initialNote(), "boot");
    if (response.status() != 200) {
      throw new AssertionError("initial note was not accepted: " + response);
    }
    for (EntryHost host : entryHosts) {
      Await.until("initial note in force on " + host.name(), () -> hasConfiguration(host));
    }
  }

  private static boolean hasConfiguration(EntryHost host) throws Exception {
    return !host.configuration("ops").items().isEmpty();
  }

  private void startStandIns(List<Relay> relays) throws Exception {
    List<String> addresses =
        relays.isEmpty()
            ? IntStream.range(0, layout.executors()).mapToObj(layout::executorAddress).toList()
            : relays.stream().map(Relay::address).toList();
    Path hosts = directory.resolve("hosts.json");
    Files.writeString(hosts, layout.hostsFile(addresses));
    List<ManagedProcess> started =
        List.of(
            standIn("log", "--listen", layout.logAddress()),
            standIn("hosts", "--listen", layout.hostsAddress(), "--file", hosts.toString()),
            standIn(
                "worker",
                "--listen",
                layout.workerAddress(0),
                "--count",
                Integer.toString(layout.workers()),
                "--cpu",
                Long.toString(CellLayout.WORKER_MILLI_PROCESSORS),
                "--memory",
                Long.toString(CellLayout.WORKER_MEMORY_MIB)),
            standIn(
                "executor",
                "--listen",
                layout.executorAddress(0),
                "--name",
                "x",
                "--count",
                Integer.toString(layout.executors())));
    for (ManagedProcess process : started) {
      Await.until(process.name(), () -> process.output().contains("listening on"));
    }
  }

  private ManagedProcess standIn(String kind, String... options) throws IOException {
    List<String> command = new ArrayList<>(List.of(BIN.resolve("standin").toString(), kind));
    command.addAll(List.of(options));
    return launch(kind, command);
  }

  private EntryHost startEntryHost(int index) throws IOException {
    String name = layout.entryName(index);
    Path settings = directory.resolve(name + ".json");
    Files.writeString(settings, settings(index));
    List<String> command =
        List.of(BIN.resolve("cactusspringd").toString(), "--settings", settings.toString());
    return new EntryHost(name, layout.callerAddress(index), launch(name, command));
  }

  private String settings(int index) {
    String log = hostRelays.map(relays -> relays.logAddress(index)).orElse(layout.logAddress());
    return layout.settingsFile(
        index,
        log,
        peer ->
            hostRelays
                .map(relays -> relays.peerAddress(index, peer))
                .orElse(layout.peerAddress(peer)));
  }

  private ManagedProcess launch(String name, List<String> command) throws IOException {
    ManagedProcess process = ManagedProcess.start(name, directory, command);
    processes.add(process);
    return process;
  }

  private static void close(HostRelays hostRelays) {
    try {
      hostRelays.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void delete(Path path) {
    try {
      Files.delete(path);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
