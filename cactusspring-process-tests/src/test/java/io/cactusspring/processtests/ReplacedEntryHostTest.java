package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.ReleaseNote;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against an entry host serving with a missing or outdated state: one that starts while the
 * log is unavailable, and ones whose next records the log no longer retains.
 */
class ReplacedEntryHostTest {
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int UNAUTHORIZED = 401;
  private static final long LONG_TASK_MILLIS = 600_000;

  @Test
  void replacementLoadsTheConfigurationFromPeersDuringALogOutage() throws Exception {
    try (Cell cell = Cell.builder("riga-a").hostsPerZone(2).start()) {
      EntryHost remaining = cell.entryHosts().get(0);
      cell.configureLog("{\"outage\":\"refuse\"}");
      EntryHost replacement = cell.replace(cell.entryHosts().get(1));
      Await.until("replacement is ready", replacement::isReady);
      assertThat(replacement.request("known", true, "counter-key").status()).isEqualTo(OK);
      assertThat(replacement.request("stray", true, "stray-key").status()).isEqualTo(UNAUTHORIZED);
      assertThat(replacement.configuration("ops")).isEqualTo(remaining.configuration("ops"));
      cell.configureLog("{\"outage\":\"none\"}");
      Await.until(
          "replacement accepts a submission", () -> submit(replacement, "after") == ACCEPTED);
      Await.until("that submission ends", () -> remaining.hasEnded("after", TestSubmissions.KEY));
    }
  }

  @Test
  void hostsThatMissedExpiredRecordsRestoreASnapshot() throws Exception {
    try (Cell cell = Cell.builder("riga-a").hostsPerZone(3).workers(2).start()) {
      EntryHost remaining = cell.ownerOf("riga-a/0");
      List<EntryHost> others =
          cell.entryHosts().stream().filter(host -> !host.equals(remaining)).toList();
      EntryHost pausedHost = others.get(0);
      assertThat(
              remaining
                  .submit(
                      TestSubmissions.nonIdempotent("standing", 1, LONG_TASK_MILLIS),
                      TestSubmissions.KEY)
                  .status())
          .isEqualTo(ACCEPTED);
      long missedFrom = cell.logState().next();
      pausedHost.process().pause();
      try {
        ReleaseNote note =
            new ReleaseNote(
                "add-missed",
                "ops",
                List.of(new Change.Add(new ConfigItem.Team("missed", 1, 1, false))));
        assertThat(remaining.apply(note, "ops").status()).isEqualTo(OK);
        fillLog(cell, remaining, missedFrom + 2 * CellLayout.KEEP_RECORDS);
        cell.configureLog("{\"retain\":" + CellLayout.KEEP_RECORDS + "}");
        assertThat(cell.logState().earliest()).isGreaterThan(missedFrom);
      } finally {
        pausedHost.process().resume();
      }
      EntryHost replacement = cell.replace(others.get(1));
      Await.until("replacement is ready", replacement::isReady);
      for (EntryHost host : List.of(pausedHost, replacement)) {
        Await.until(host.name() + " has applied the note", () -> hasTeam(host, "missed"));
        Await.until(host.name() + " shows the run as RUNNING", () -> isRunning(host, "standing"));
      }
      cell.workerHistory().assertSafe();
      cell.workerHistory().assertStartedOnce("standing", 1);
    }
  }

  private static void fillLog(Cell cell, EntryHost host, long untilOffset) throws Exception {
    for (int i = 0; cell.logState().next() < untilOffset; i++) {
      assertWithMessage("submission " + i).that(submit(host, "fill-" + i)).isEqualTo(ACCEPTED);
    }
  }

  private static int submit(EntryHost host, String id) throws Exception {
    return host.submit(TestSubmissions.idempotent(id, 1, 1), TestSubmissions.KEY).status();
  }

  private static boolean hasTeam(EntryHost host, String name) throws Exception {
    return host.configuration("ops").items().stream()
        .anyMatch(item -> item.path().equals("team/" + name));
  }

  private static boolean isRunning(EntryHost host, String id) throws Exception {
    Http.Response response = host.submission(id, TestSubmissions.KEY);
    return response.status() == OK
        && response.as(SubmissionView.class).runs().stream()
            .allMatch(run -> run.state().equals("RUNNING"));
  }
}
