package io.cactusspring.cli.command;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.client.Call;
import io.cactusspring.cli.output.Progress;
import io.cactusspring.cli.output.Result;
import io.cactusspring.cli.output.Table;
import io.cactusspring.cli.wire.HostStatus;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Prints which revision of the configuration is in force on each entry host. */
final class RevisionCommands {
  private static final long POLL_INTERVAL_MILLIS = 200;

  private final Connection connection;
  private final Progress progress;

  RevisionCommands(Connection connection, Progress progress) {
    this.connection = connection;
    this.progress = progress;
  }

  /** The revision of one entry host. */
  record HostRevision(String host, long revision, boolean inForce) {}

  /** JSON result of the command. */
  record Revisions(long revision, boolean everywhere, List<HostRevision> hosts) {}

  Result status(Command.NoteStatus c) throws CliException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(c.waitMillis());
    try {
      while (true) {
        Revisions r = revisions(c.revision());
        if (r.everywhere() || System.nanoTime() - end >= 0) {
          return result(r);
        }
        progress.show("waiting for revision " + r.revision() + " on all entry hosts");
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CliException(ExitCode.NOT_FINISHED, "interrupted", e);
    } finally {
      progress.clear();
    }
  }

  /**
   * Queries each configured host. Their peers are included with the revision that they last
   * reported to one of these hosts.
   */
  private Revisions revisions(long wanted) throws CliException {
    Map<String, Long> byHost = new TreeMap<>();
    for (HostStatus s : connection.readAll(Call.get("/v1/status"), HostStatus.class).responses()) {
      s.peers().forEach(p -> byHost.merge(p.name(), p.revision(), Math::max));
      byHost.merge(s.host(), s.revision(), Math::max);
    }
    long newest = byHost.values().stream().mapToLong(Long::longValue).max().orElse(0);
    long revision = wanted == 0 ? newest : wanted;
    List<HostRevision> hosts =
        byHost.entrySet().stream()
            .map(e -> new HostRevision(e.getKey(), e.getValue(), e.getValue() >= revision))
            .toList();
    return new Revisions(revision, hosts.stream().allMatch(HostRevision::inForce), hosts);
  }

  private static Result result(Revisions r) {
    Table table = Table.of("HOST", "REVISION", "IN FORCE");
    r.hosts().forEach(h -> table.row(h.host(), h.revision(), h.inForce() ? "yes" : "not yet"));
    String line =
        "revision %d is %s"
            .formatted(
                r.revision(), r.everywhere() ? "in force everywhere" : "not in force everywhere");
    return new Result(r.everywhere() ? ExitCode.OK : ExitCode.NOT_FINISHED, r, table + "\n" + line);
  }
}
