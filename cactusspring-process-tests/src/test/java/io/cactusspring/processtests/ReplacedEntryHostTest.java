package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.ReleaseNote;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReplacedEntryHostTest {
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int UNAUTHORIZED = 401;
  private static final long FAR_MILLIS = 600_000;

  @Test
  void newcomerLearnsTheConfigurationFromPeersWhileTheLogIsOut() throws Exception {
    try (Cell cell = Cell.builder("riga-a").hostsPerZone(2).start()) {
      EntryHost staying = cell.entryHosts().get(0);
      cell.switchLog("{\"outage\":\"refuse\"}");
      EntryHost newcomer = cell.replace(cell.entryHosts().get(1));
      Await.until("newcomer is ready", newcomer::isReady);
      assertThat(newcomer.request("known", true, "counter-key").status()).isEqualTo(OK);
      assertThat(newcomer.request("stray", true, "stray-key").status()).isEqualTo(UNAUTHORIZED);
      assertThat(newcomer.configuration("ops")).isEqualTo(staying.configuration("ops"));
      cell.switchLog("{\"outage\":\"none\"}");
      Await.until("newcomer takes work", () -> submit(newcomer, "after") == ACCEPTED);
      Await.until("its work ends", () -> staying.hasEnded("after", Work.KEY));
    }
  }

  @Test
  void hostsThatMissedExpiredRecordsStartOverFromASnapshot() throws Exception {
    try (Cell cell = Cell.builder("riga-a").hostsPerZone(3).workers(2).start()) {
      EntryHost staying = cell.ownerOf("riga-a/0");
      List<EntryHost> others =
          cell.entryHosts().stream().filter(host -> !host.equals(staying)).toList();
      EntryHost sleeper = others.get(0);
      assertThat(staying.submit(Work.once("standing", 1, FAR_MILLIS), Work.KEY).status())
          .isEqualTo(ACCEPTED);
      long missedFrom = cell.logState().next();
      sleeper.process().pause();
      try {
        ReleaseNote note =
            new ReleaseNote(
                "add-missed",
                "ops",
                List.of(new Change.Add(new ConfigItem.Team("missed", 1, 1, false))));
        assertThat(staying.apply(note, "ops").status()).isEqualTo(OK);
        fillLog(cell, staying, missedFrom + 2 * CellLayout.KEEP_RECORDS);
        cell.switchLog("{\"retain\":" + CellLayout.KEEP_RECORDS + "}");
        assertThat(cell.logState().earliest()).isGreaterThan(missedFrom);
      } finally {
        sleeper.process().resume();
      }
      EntryHost newcomer = cell.replace(others.get(1));
      Await.until("newcomer is ready", newcomer::isReady);
      for (EntryHost host : List.of(sleeper, newcomer)) {
        Await.until(host.name() + " knows the note", () -> knowsTeam(host, "missed"));
        Await.until(host.name() + " knows the run", () -> isRunning(host, "standing"));
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
    return host.submit(Work.idempotent(id, 1, 1), Work.KEY).status();
  }

  private static boolean knowsTeam(EntryHost host, String name) throws Exception {
    return host.configuration("ops").items().stream()
        .anyMatch(item -> item.path().equals("team/" + name));
  }

  private static boolean isRunning(EntryHost host, String id) throws Exception {
    Http.Answer answer = host.submission(id, Work.KEY);
    return answer.status() == OK
        && answer.as(SubmissionView.class).runs().stream()
            .allMatch(run -> run.state().equals("RUNNING"));
  }
}
