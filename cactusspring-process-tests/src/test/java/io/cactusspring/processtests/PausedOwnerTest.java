package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Submission;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against runs being started twice: an owner that is stopped by SIGSTOP and resumed after a
 * takeover still has starts queued for its former shard.
 */
class PausedOwnerTest {
  private static final String SHARD = "riga-a/0";
  private static final int TASKS = 6;
  private static final long TASK_MILLIS = 300;

  /** Exceeds the workers' capacity, so that the paused owner still has starts to send. */
  private static final int BULK_TASKS = 90;

  private static final long BULK_TASK_MILLIS = 1_500;

  @Test
  void ownerResumedAfterATakeoverStartsNoRunTwice() throws Exception {
    try (Cell cell = Cell.builder("riga-a").hostsPerZone(3).workers(4).start()) {
      EntryHost owner = cell.ownerOf(SHARD);
      List<EntryHost> others =
          cell.entryHosts().stream().filter(host -> !host.equals(owner)).toList();
      List<Submission> accepted = new ArrayList<>();
      accepted.add(
          submit(others.get(0), TestSubmissions.idempotent("bulk", BULK_TASKS, BULK_TASK_MILLIS)));
      accepted.add(
          submit(owner, TestSubmissions.nonIdempotent("bulk-once", BULK_TASKS, BULK_TASK_MILLIS)));
      Await.until("first starts", () -> cell.workerHistory().startsOf("bulk") > 0);
      owner.process().pause();
      try {
        accepted.add(
            submit(others.get(1), TestSubmissions.idempotent("paused", TASKS, TASK_MILLIS)));
        Await.until("another entry host owns the shard", () -> isOwned(others));
        accepted.add(
            submit(others.get(0), TestSubmissions.nonIdempotent("taken", TASKS, TASK_MILLIS)));
      } finally {
        owner.process().resume();
      }
      for (int i = 0; i < cell.entryHosts().size(); i++) {
        EntryHost host = cell.entryHosts().get(i);
        accepted.add(submit(host, TestSubmissions.idempotent("woken-" + i, TASKS, TASK_MILLIS)));
      }
      for (Submission submission : accepted) {
        Await.until(
            submission.id() + " ends",
            () -> others.get(0).hasEnded(submission.id(), TestSubmissions.KEY));
      }
      WorkerHistory history = cell.workerHistory();
      history.assertSafe();
      accepted.forEach(submission -> assertOnce(history, submission));
      assertThat(owner.process().isAlive()).isTrue();
    }
  }

  private static boolean isOwned(List<EntryHost> hosts) throws Exception {
    for (EntryHost host : hosts) {
      if (host.status("ops").ownedShards().contains(SHARD)) {
        return true;
      }
    }
    return false;
  }

  private static Submission submit(EntryHost host, Submission submission) throws Exception {
    Http.Response response = host.submit(submission, TestSubmissions.KEY);
    assertWithMessage("response to " + submission.id() + ": " + response)
        .that(response.status())
        .isEqualTo(202);
    return submission;
  }

  private static void assertOnce(WorkerHistory history, Submission submission) {
    if (submission.task().idempotent()) {
      assertWithMessage("successes of " + submission.id())
          .that(history.successesOf(submission.id()))
          .isEqualTo(submission.tasks());
    } else {
      assertWithMessage("starts of " + submission.id())
          .that(history.startsOf(submission.id()))
          .isAtMost(submission.tasks());
    }
  }
}
