package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.cactusspring.jobs.simulation.FakeLog;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests what callers are told around a change of the owner, and by hosts that are cut off from the
 * owner or from the store.
 */
final class HandoverTest {
  private static final Resources CAPACITY = new Resources(8_000, 8_000, 0);
  private static final long QUEUE_TIMEOUT_MILLIS = 3_000;

  private ClusterSimulation simulation;

  @BeforeEach
  void startFiveHosts() {
    simulation = new ClusterSimulation(5);
    List.of("a", "b", "c", "d", "e").forEach(simulation::addHost);
    List.of("x1", "x2", "x3").forEach(id -> simulation.addExecutor(id, CAPACITY));
    simulation.time().run(3_000);
  }

  private static JobSpec job(String id) {
    StepSpec step =
        StepSpec.builder()
            .tasks(2)
            .resources(new Resources(1_000, 1_000, 0))
            .estimateMillis(500)
            .build();
    return new JobSpec(
        id,
        ClusterSimulation.queue("quick", 0, null),
        "team",
        "payload",
        List.of(step),
        0,
        0,
        0,
        0);
  }

  private Host owner() {
    return simulation.hosts().stream().filter(Host::isOwner).findFirst().orElseThrow();
  }

  private Host otherHost() {
    return simulation.hosts().stream()
        .filter(h -> !h.isOwner() && h.entry().isPresent())
        .findFirst()
        .orElseThrow();
  }

  private Host lastHost() {
    return simulation.hosts().stream()
        .filter(h -> !h.isOwner() && h.entry().isPresent())
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  private Outcome submit(Host host, JobSpec spec, long millis) {
    Future<Outcome> answer = simulation.submit(host, spec);
    simulation.time().run(millis);
    return answer.result();
  }

  private Optional<JobState> state(Host host, JobSpec spec, long millis) {
    Future<Optional<JobState>> answer = simulation.state(host, spec);
    simulation.time().run(millis);
    assertThat(answer.succeeded()).isTrue();
    return answer.result();
  }

  private boolean runs(JobSpec spec) {
    return simulation.executors().stream()
        .flatMap(e -> e.tasks().stream())
        .map(TaskId::job)
        .anyMatch(spec.id()::equals);
  }

  private void assertNoViolations() {
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** A third of the hosts is killed, the owner among them. */
  @Test
  void quickJobStartsWithinHalfASecondAfterTheOwnerIsKilled() {
    owner().kill();
    JobSpec spec = job("j1");
    Outcome outcome = submit(otherHost(), spec, 500);
    assertThat(outcome).isInstanceOf(Outcome.Accepted.class);
    assertThat(runs(spec)).isTrue();
    assertNoViolations();
  }

  @Test
  void killedOwnerIsReplacedByExactlyOneClaim() {
    long before = claims();
    owner().kill();
    simulation.time().run(2_000);
    assertThat(claims() - before).isEqualTo(1);
  }

  private long claims() {
    return simulation.logLines().stream().filter(l -> l.contains("\"TAKING_OVER\"")).count();
  }

  /** The links of all hosts are reset while the owner works on. */
  @Test
  void resetLinksDoNotReplaceTheOwner() {
    Host before = owner();
    simulation.hosts().forEach(Host::resetPeerLinks);
    simulation.time().run(3_000);
    assertThat(owner()).isEqualTo(before);
    assertThat(claims()).isEqualTo(1);
  }

  @Test
  void hostThatIsCutOffFromTheOwnerStoresSubmissionsInTheInbox() {
    Host cut = otherHost();
    cut.cutFromPeers(true);
    simulation.time().run(2_000);
    JobSpec spec = job("j1");
    assertThat(submit(cut, spec, 200)).isInstanceOf(Outcome.Accepted.class);
    assertThat(runs(spec)).isTrue();
    assertThat(state(cut, spec, 100)).hasValue(JobState.RUNNING);
    simulation.time().run(2_000);
    assertThat(state(cut, spec, 100)).hasValue(JobState.COMPLETED);
    assertThat(state(lastHost(), spec, 100)).hasValue(JobState.COMPLETED);
    assertThat(owner()).isNotEqualTo(cut);
    assertNoViolations();
  }

  @Test
  void hostThatIsCutOffFromTheOwnerCancelsThroughTheInbox() {
    simulation.taskWorkMillis(id -> 20_000L);
    JobSpec spec = job("j1");
    submit(owner(), spec, 200);
    Host cut = otherHost();
    cut.cutFromPeers(true);
    simulation.time().run(2_000);
    Future<Outcome> answer = simulation.cancel(cut, spec);
    simulation.time().run(1_000);
    assertThat(answer.result()).isInstanceOf(Outcome.Accepted.class);
    assertThat(runs(spec)).isFalse();
    assertThat(state(lastHost(), spec, 100)).hasValue(JobState.CANCELLED);
    assertNoViolations();
  }

  @Test
  void hostThatIsCutOffFromTheStoreServesThroughTheOwner() {
    Host cut = otherHost();
    cut.storeLink().disconnected(true);
    simulation.time().run(500);
    JobSpec spec = job("j1");
    assertThat(submit(cut, spec, 100)).isInstanceOf(Outcome.Accepted.class);
    assertThat(state(cut, spec, 50)).hasValue(JobState.RUNNING);
    assertNoViolations();
  }

  /** The connection of a caller was reset; the caller asks a host of another zone. */
  @Test
  void everyHostKnowsAJobAsSoonAsItIsAccepted() {
    JobSpec spec = job("j1");
    Future<Outcome> accepted = simulation.submit(otherHost(), spec);
    while (!accepted.isComplete()) {
      simulation.time().run(1);
    }
    for (Host host : simulation.hosts()) {
      assertThat(state(host, spec, 20)).isPresent();
    }
  }

  @Test
  void jobIsKnownWhileNobodyOwnsTheExecutors() {
    JobSpec spec = job("j1");
    submit(otherHost(), spec, 2_000);
    owner().kill();
    simulation.time().run(2);
    assertThat(state(otherHost(), spec, 40)).hasValue(JobState.COMPLETED);
    JobSpec unknown = job("j2");
    assertThat(state(otherHost(), unknown, 60)).isEmpty();
  }

  /** The owner's process is paused; another host takes over. */
  @Test
  void pausedOwnerAnswersNothingAfterwards() {
    simulation.taskWorkMillis(id -> 3_000L);
    Host paused = owner();
    JobSpec spec = job("j1");
    submit(paused, spec, 200);
    paused.pause(6_000);
    simulation.time().run(5_900);
    assertThat(simulation.hosts().stream().filter(Host::isOwner).anyMatch(h -> h != paused))
        .isTrue();
    assertThat(state(otherHost(), spec, 50)).hasValue(JobState.COMPLETED);
    simulation.time().run(60);
    Future<Optional<JobState>> stale = simulation.state(paused, spec);
    simulation.time().run(400);
    assertThat(stale.result()).hasValue(JobState.COMPLETED);
    assertThat(simulation.oracle().startCount()).isEqualTo(2);
    assertNoViolations();
  }

  /**
   * A host stores a submission in the inbox although the owner has stored it as well, and the copy
   * is carried out seconds after the job has ended.
   */
  @Test
  void lateCopyOfASubmissionIsNotRunAgain() throws Exception {
    JobSpec spec = job("j1");
    submit(otherHost(), spec, 2_000);
    assertThat(state(otherHost(), spec, 50)).hasValue(JobState.COMPLETED);
    appendToInbox(LedgerCodec.job(spec));
    simulation.time().run(3_000);
    owner().kill();
    simulation.time().run(3_000);
    assertThat(simulation.oracle().startCount()).isEqualTo(2);
    simulation.time().run(10_000);
    assertThat(simulation.inbox().stream().flatMap(p -> p.newest().stream()).toList()).isEmpty();
    assertNoViolations();
  }

  private void appendToInbox(Entry entry) throws Exception {
    int partition = Math.floorMod("j1".hashCode(), simulation.inbox().size());
    FakeLog log = simulation.inbox().get(partition);
    log.append(List.of(entry), Optional.empty());
  }

  @Test
  void sameIdWithOtherContentIsRefused() {
    submit(otherHost(), job("j1"), 200);
    JobSpec other =
        new JobSpec(
            "j1",
            ClusterSimulation.queue("quick", 0, null),
            "team",
            "other payload",
            job("j1").steps(),
            0,
            0,
            0,
            0);
    assertThat(submit(lastHost(), other, 200)).isInstanceOf(Outcome.Conflict.class);
    assertThat(submit(lastHost(), job("j1"), 200)).isInstanceOf(Outcome.Accepted.class);
  }

  /** The owner is stopped as planned while callers submit jobs. */
  @Test
  void everySubmissionDuringAPlannedHandoverIsAccepted() {
    Host leaving = owner();
    Host host = otherHost();
    leaving.entry().orElseThrow().drain();
    for (int i = 0; i < 30; i++) {
      JobSpec spec = job("j" + i);
      Future<Outcome> answer = simulation.submit(host, spec);
      simulation.time().run(10);
      if (i > 20) {
        simulation.time().run(200);
      }
      if (answer.isComplete()) {
        assertThat(answer.result()).isInstanceOf(Outcome.Accepted.class);
      }
    }
    simulation.time().run(QUEUE_TIMEOUT_MILLIS);
    for (int i = 0; i < 30; i++) {
      assertThat(simulation.oracle().isDone(job("j" + i))).isTrue();
    }
    assertNoViolations();
  }

  /** The owner is killed between any two appends of its takeover. */
  @Test
  void takeoverThatIsInterruptedAtAnyMomentLosesNothing() {
    simulation.taskWorkMillis(id -> 1_000L);
    for (int i = 0; i < 12; i++) {
      JobSpec spec = job("round" + i);
      submit(otherHost(), spec, 100);
      owner().kill();
      simulation.time().run(40 + i);
      simulation.hosts().stream()
          .filter(h -> h.entry().isPresent())
          .skip(i % 2)
          .findFirst()
          .ifPresent(Host::kill);
      simulation.time().run(300);
      simulation.hosts().stream().filter(h -> h.entry().isEmpty()).forEach(Host::start);
      simulation.time().run(4_000);
      assertThat(simulation.oracle().isDone(spec)).isTrue();
    }
    assertNoViolations();
  }
}
