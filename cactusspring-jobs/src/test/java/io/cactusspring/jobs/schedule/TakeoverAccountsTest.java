package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests what a new owner knows about organisations from the jobs in the store. */
final class TakeoverAccountsTest {
  private static final long WALL_MILLIS = 1_000_000;
  private static final long NOW = 5_000;

  private static JobEntry stored(String id, Queue queue, String organisation, long acceptedMillis) {
    return JobEntry.submitted(
        new JobSpec(
            id,
            queue,
            organisation,
            "",
            List.of(SlotModel.step(4, 4, 500).build()),
            0,
            0,
            0,
            acceptedMillis));
  }

  /** Returns the jobs that start on one executor with room for one job, in their order. */
  private static List<String> startOrder(List<JobEntry> entries) {
    JobScheduler scheduler =
        new JobScheduler(
            SchedulerSettings.builder().build(),
            2,
            entries,
            id -> Optional.empty(),
            (kind, job, subject, reason) -> {},
            WALL_MILLIS,
            NOW);
    Resources none = new Resources(0, 0, 0);
    scheduler.configure(
        new SiteConfiguration(
            1,
            List.of(SlotModel.QUICK, SlotModel.BATCH),
            List.of(),
            List.of(
                new Organisation("surging", Set.of(), 1, none),
                new Organisation("other", Set.of(), 1, none))));
    Resources capacity = new Resources(16_000, 32_000, 0);
    List<String> started = new ArrayList<>();
    long now = NOW;
    for (int i = 0; i < entries.size(); i++) {
      String executor = "x" + i;
      scheduler.executorListed(
          new ExecutorInfo(
              executor, executor + ":80", "svc", "z", false, -1, capacity, Set.of(), 7),
          now);
      scheduler.leaseRenewalAnswered(
          executor,
          scheduler.leaseRenewalRequest(executor, true, now),
          now,
          new LeaseRenewalResult.Report(now, 7, List.of(), List.of()),
          now);
      scheduler.decide(millis -> false, WALL_MILLIS, now).stream()
          .filter(a -> a instanceof Action.Start)
          .map(a -> ((Action.Start) a).run().task().job())
          .distinct()
          .forEach(started::add);
      now += 10;
    }
    return started;
  }

  /** The owner is killed during a surge: six jobs of one organisation within 60 ms. */
  @Test
  void surplusIsFoundAgainFromTheStoredAcceptanceTimes() {
    List<JobEntry> entries = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      entries.add(stored("surge" + i, SlotModel.QUICK, "surging", WALL_MILLIS - 100 + 10 * i));
    }
    entries.add(stored("other", SlotModel.BATCH, "other", WALL_MILLIS - 10));
    // Two jobs are within the burst of the agreed rate; the batch job precedes the other four.
    assertThat(startOrder(entries).get(2)).isEqualTo("other");
    assertThat(startOrder(entries)).hasSize(7);
  }

  /** Failure: the store holds too few jobs to tell whether the organisation is in a surge. */
  @Test
  void organisationIsNotDemotedForWhatIsNotKnown() {
    List<JobEntry> entries =
        List.of(
            stored("first", SlotModel.QUICK, "surging", WALL_MILLIS - 300),
            stored("second", SlotModel.QUICK, "surging", WALL_MILLIS - 200),
            stored("other", SlotModel.BATCH, "other", WALL_MILLIS - 100));
    assertThat(startOrder(entries)).containsExactly("first", "second", "other").inOrder();
  }
}
