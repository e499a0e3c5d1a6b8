package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Submission;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against accepted submissions being lost, and requests being executed twice, when the entry
 * host that owns a shard is killed.
 */
class KilledEntryHostTest {
  private static final int TASKS = 3;
  private static final int BATCHES_BEFORE = 8;
  private static final int BATCHES_AFTER = 4;
  private static final long TASK_MILLIS = 400;

  @Test
  void killedEntryHostLosesNoAcceptedSubmission() throws Exception {
    try (Cell cell =
        Cell.builder("riga-a", "riga-b").hostsPerZone(2).workers(4).executors(4).start()) {
      EntryHost killed = cell.ownerOf("riga-a/0");
      List<EntryHost> others =
          cell.entryHosts().stream().filter(host -> !host.equals(killed)).toList();
      RequestLoad load = RequestLoad.start("k", cell.entryHosts(), false, 4);
      load.awaitSuccesses(50, cell.entryHosts());

      List<Submission> accepted = new ArrayList<>();
      for (int i = 0; i < BATCHES_BEFORE; i++) {
        accepted.add(submit(cell.entryHosts().get(i % cell.entryHosts().size()), "before-" + i));
      }
      killed.process().kill();
      load.awaitSuccesses(100, others);
      for (int i = 0; i < BATCHES_AFTER; i++) {
        accepted.add(submit(others.get(i % others.size()), "after-" + i));
      }
      for (Submission submission : accepted) {
        Await.until(
            submission.id() + " ends",
            () -> others.get(0).hasEnded(submission.id(), TestSubmissions.KEY));
      }
      List<RequestLoad.SentRequest> sent = load.stop();

      WorkerHistory history = cell.workerHistory();
      history.assertSafe();
      for (Submission submission : accepted) {
        assertEndedOnce(others.get(0), submission, history);
      }
      RequestChecks.assertConsistent(sent, cell.executions());
      RequestChecks.assertAtMostOnce(cell.executions());
    }
  }

  private static Submission submit(EntryHost host, String id) throws Exception {
    Submission submission = TestSubmissions.idempotent(id, TASKS, TASK_MILLIS);
    Http.Response response = host.submit(submission, TestSubmissions.KEY);
    assertWithMessage("response to " + id + ": " + response).that(response.status()).isEqualTo(202);
    return submission;
  }

  private static void assertEndedOnce(EntryHost host, Submission submission, WorkerHistory history)
      throws Exception {
    SubmissionView view =
        host.submission(submission.id(), TestSubmissions.KEY).as(SubmissionView.class);
    assertWithMessage("runs of " + submission.id() + ": " + view)
        .that(view.withOutcome("SUCCEEDED"))
        .isEqualTo(TASKS);
    assertThat(history.successesOf(submission.id())).isEqualTo(TASKS);
  }
}
