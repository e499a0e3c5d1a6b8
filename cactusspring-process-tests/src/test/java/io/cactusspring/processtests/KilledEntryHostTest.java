package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Submission;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class KilledEntryHostTest {
  private static final int TASKS = 3;
  private static final int BATCHES_BEFORE = 8;
  private static final int BATCHES_AFTER = 4;
  private static final long TASK_MILLIS = 400;

  @Test
  void killedEntryHostCostsNoAcceptedWork() throws Exception {
    try (Cell cell =
        Cell.builder("riga-a", "riga-b").hostsPerZone(2).workers(4).executors(4).start()) {
      EntryHost victim = cell.ownerOf("riga-a/0");
      List<EntryHost> others =
          cell.entryHosts().stream().filter(host -> !host.equals(victim)).toList();
      RequestLoad load = RequestLoad.start("k", cell.entryHosts(), false, 4);
      load.awaitGood(50, cell.entryHosts());

      List<Submission> accepted = new ArrayList<>();
      for (int i = 0; i < BATCHES_BEFORE; i++) {
        accepted.add(submit(cell.entryHosts().get(i % cell.entryHosts().size()), "before-" + i));
      }
      victim.process().kill();
      load.awaitGood(100, others);
      for (int i = 0; i < BATCHES_AFTER; i++) {
        accepted.add(submit(others.get(i % others.size()), "after-" + i));
      }
      for (Submission submission : accepted) {
        Await.until(
            submission.id() + " ends", () -> others.get(0).hasEnded(submission.id(), Work.KEY));
      }
      List<RequestLoad.Sent> sent = load.stop();

      WorkerHistory history = cell.workerHistory();
      history.assertSafe();
      for (Submission submission : accepted) {
        assertEndedOnce(others.get(0), submission, history);
      }
      RequestChecks.assertTrue(sent, cell.executions());
      RequestChecks.assertAtMostOnce(cell.executions());
    }
  }

  private static Submission submit(EntryHost host, String id) throws Exception {
    Submission submission = Work.idempotent(id, TASKS, TASK_MILLIS);
    Http.Answer answer = host.submit(submission, Work.KEY);
    assertWithMessage("answer to " + id + ": " + answer).that(answer.status()).isEqualTo(202);
    return submission;
  }

  private static void assertEndedOnce(EntryHost host, Submission submission, WorkerHistory history)
      throws Exception {
    SubmissionView view = host.submission(submission.id(), Work.KEY).as(SubmissionView.class);
    assertWithMessage("runs of " + submission.id() + ": " + view)
        .that(view.withOutcome("SUCCEEDED"))
        .isEqualTo(TASKS);
    assertThat(history.successesOf(submission.id())).isEqualTo(TASKS);
  }
}
