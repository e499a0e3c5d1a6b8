package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import org.junit.jupiter.api.Test;

/** Tests late copies of submissions that reach the inbox around the end of their job. */
final class InboxCopiesTest extends ThreeHostsFixture {
  private static final long RETENTION_MILLIS = 180_000;

  private ClusterSimulation.Host cutOffHost() {
    ClusterSimulation.Host host =
        simulation.hosts().stream().filter(h -> !h.isOwner()).findFirst().orElseThrow();
    host.cutFromPeers(true);
    simulation.time().run(2_000);
    return host;
  }

  private boolean isInInbox(JobSpec spec) {
    return simulation.inbox().stream()
        .flatMap(p -> p.newest().stream())
        .anyMatch(e -> e.key().equals(LedgerCodec.jobKey(spec.id())));
  }

  private void submitToInbox(ClusterSimulation.Host cutOff, JobSpec spec) {
    var answer = simulation.submit(cutOff, spec);
    simulation.time().run(1_000);
    assertThat(answer.result()).isInstanceOf(Outcome.Accepted.class);
  }

  /**
   * Guards against a job that runs once more, minutes after its end and after a change of the
   * owner: the answer to the deletion of its submission reaches the owner after a copy that was
   * stored later.
   */
  @Test
  void copyThatIsStoredAfterADeletionIsDeletedToo() {
    ClusterSimulation.Host cutOff = cutOffHost();
    JobSpec spec = job("j", quick(), tasks(1).build());
    submitToInbox(cutOff, spec);
    assertThat(isInInbox(spec)).isTrue();
    ClusterSimulation.Host owner = owner();
    owner.storeLink().extraAnswerMillis(400);
    for (int i = 0; i < 10_000 && isInInbox(spec); i++) {
      simulation.time().run(1);
    }
    assertThat(isInInbox(spec)).isFalse();
    owner.storeLink().extraAnswerMillis(0);
    submitToInbox(cutOff, spec);
    cutOff.cutFromPeers(false);
    simulation.time().run(RETENTION_MILLIS + 10_000);
    assertThat(isInInbox(spec)).isFalse();
    owner().kill();
    simulation.time().run(10_000);
    assertThat(simulation.oracle().violations()).isEmpty();
    assertThat(simulation.oracle().startCount()).isEqualTo(1);
  }

  /** Guards against a cancellation in the inbox that is kept for ever. */
  @Test
  void inboxHoldsNothingOfACancelledJob() {
    ClusterSimulation.Host cutOff = cutOffHost();
    JobSpec spec = job("j", quick(), tasks(1).build());
    simulation.taskWorkMillis(id -> 60_000L);
    submitToInbox(cutOff, spec);
    simulation.cancel(cutOff, spec);
    simulation.time().run(12_000);
    assertThat(state(spec)).isEqualTo(JobState.CANCELLED);
    assertThat(simulation.inbox().stream().mapToLong(p -> p.newest().size()).sum()).isEqualTo(0);
  }
}
