package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests a takeover whose fences reach the store late, so that the owner before still writes. */
final class LateFenceTest extends ThreeHostsFixture {
  /** Time from the claim to the fences: the owner before may still grant leases. */
  private static final long FENCE_MILLIS = 500;

  /**
   * How late answers of the store are at the next owner: a record of the inbox is read that late.
   */
  private static final long LATE_ANSWER_MILLIS = 700;

  /** Fraction of the answers that the owner before misses, so that it may not see the claim. */
  private static final double LOSS_RATE = 0.4;

  private String claimant() {
    return simulation.ownership().newest().stream()
        .map(LedgerCodec::ownerOf)
        .flatMap(Optional::stream)
        .map(OwnerRecord::host)
        .findFirst()
        .orElseThrow();
  }

  private Host host(String name) {
    return simulation.hosts().stream().filter(h -> h.name().equals(name)).findFirst().orElseThrow();
  }

  /** Returns how long after a pause of the owner another host claims the ownership. */
  private long millisToClaim(long pause) {
    String before = claimant();
    owner().pause(pause);
    long pausedAt = simulation.time().now();
    while (claimant().equals(before)) {
      simulation.time().run(1);
    }
    return simulation.time().now() - pausedAt;
  }

  /**
   * Guards against a task that runs twice because the next owner reads the inbox before the lanes
   * are fenced: the owner before, which was paused, reads the submission and starts the task in
   * between.
   */
  @Test
  void submissionThatTheOwnerBeforeReadsBeforeTheFenceRunsOnce() {
    long toClaim = millisToClaim(10_000);
    int started = 0;
    for (long resumed = 40; resumed < 300; resumed += 2) {
      startThreeHosts();
      simulation.taskWorkMillis(id -> 5_000L);
      String before = claimant();
      millisToClaim(toClaim + resumed);
      Host next = host(claimant());
      long claimedAt = simulation.time().now();
      simulation.lanes().forEach(l -> l.newEpochsFrom(claimedAt + FENCE_MILLIS));
      simulation.time().run(5);
      next.storeLink().extraAnswerMillis(LATE_ANSWER_MILLIS);
      simulation.time().run(20);
      Host third =
          simulation.hosts().stream()
              .filter(h -> h != next && !h.name().equals(before))
              .findFirst()
              .orElseThrow();
      third.cutFromPeers(true);
      JobSpec spec = job("j", quick(), tasks(1).build());
      simulation.submit(third, spec);
      host(before).storeLink().answerLossRate(LOSS_RATE);
      simulation.time().after(400, () -> host(before).storeLink().answerLossRate(0));
      simulation.time().run(FENCE_MILLIS - 30);
      next.storeLink().extraAnswerMillis(0);
      started += simulation.oracle().startCount();
      simulation.executors().stream()
          .filter(e -> !e.tasks().isEmpty())
          .forEach(e -> e.silent(true));
      simulation.time().run(25_000);
      assertWithMessage("resumed %s ms after the claim", resumed)
          .that(simulation.oracle().violations())
          .isEmpty();
    }
    assertThat(started).isGreaterThan(0);
  }
}
