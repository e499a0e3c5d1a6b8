package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Submission;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a run being started by two owners: an owner isolated from the log and its peers
 * still reaches its workers after another entry host has taken over the shard.
 */
class IsolatedOwnerTest {
  private static final String SHARD = "riga-a/0";
  private static final int ACCEPTED = 202;
  private static final int TASKS = 6;
  private static final long TASK_MILLIS = 300;

  /** Enough tasks that runs are still waiting at the owner when the takeover has completed. */
  private static final int BACKLOG_TASKS = 150;

  private static final long BACKLOG_TASK_MILLIS = 2_500;

  @Test
  void ownerIsolatedFromLogAndPeersStartsNoRunThatItsSuccessorStarts() throws Exception {
    try (Cell cell = Cell.builder("riga-a").hostsPerZone(2).workers(3).relayedLinks().start()) {
      EntryHost owner = cell.ownerOf(SHARD);
      EntryHost other =
          cell.entryHosts().stream().filter(host -> !host.equals(owner)).findFirst().orElseThrow();
      List<Submission> accepted = new ArrayList<>();
      accepted.add(
          submit(other, TestSubmissions.idempotent("backlog", BACKLOG_TASKS, BACKLOG_TASK_MILLIS)));
      Await.until("first starts", () -> cell.workerHistory().startsOf("backlog") > 0);
      cell.isolate(owner);
      Await.until("the other entry host owns the shard", () -> owns(other));
      accepted.add(submit(other, TestSubmissions.nonIdempotent("after", TASKS, TASK_MILLIS)));
      for (Submission submission : accepted) {
        Await.until(
            submission.id() + " ends", () -> other.hasEnded(submission.id(), TestSubmissions.KEY));
      }
      cell.reconnect(owner);
      Await.until(
          "the former owner reads the log again",
          () -> owner.hasEnded("after", TestSubmissions.KEY));
      WorkerHistory history = cell.workerHistory();
      history.assertSafe();
      history.assertStartedOnce("after", TASKS);
      assertWithMessage("successes of the backlog")
          .that(history.successesOf("backlog"))
          .isEqualTo(BACKLOG_TASKS);
    }
  }

  private static boolean owns(EntryHost host) throws Exception {
    return host.status("ops").ownedShards().contains(SHARD);
  }

  private static Submission submit(EntryHost host, Submission submission) throws Exception {
    Http.Response response = host.submit(submission, TestSubmissions.KEY);
    assertWithMessage("response to " + submission.id() + ": " + response)
        .that(response.status())
        .isEqualTo(ACCEPTED);
    return submission;
  }
}
