package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.LeaseBounds;
import io.cactusspring.jobs.ledger.OwnerRecord;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.schedule.InheritedLeases;
import io.cactusspring.jobs.schedule.SchedulerSettings;
import io.cactusspring.jobs.simulation.ClusterSimulation;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import io.cactusspring.jobs.simulation.FakeExecutor;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests from when a new owner may start the tasks of an executor that is gone elsewhere. */
final class EarlierLeasesTest {
  private static final SchedulerSettings SETTINGS = SchedulerSettings.builder().build();
  private static final long LEASE_MILLIS = Math.round(SETTINGS.leaseMillis() / 0.98);
  private static final long GRACE_MILLIS = SETTINGS.storeGraceMillis();
  private static final long UNKNOWN = Long.MAX_VALUE;

  /** Many heartbeats, so that the leases of all owners before have lapsed. */
  private static final long MANY = 1_000;

  private final EarlierLeases leases = new EarlierLeases(SETTINGS);
  private final ClusterSimulation simulation = new ClusterSimulation(3);

  private static OwnerRecord owner(long term, long heartbeat, boolean released) {
    return new OwnerRecord(term, "a", "a#" + term, "a:1", heartbeat, released);
  }

  /** Guards against a wait that is counted from the takeover. */
  @Test
  void ownerMayGrantLeasesForTheGraceAfterItsLastRecord() {
    leases.read(owner(1, MANY, false), 50_000);
    assertThat(leases.inherited(UNKNOWN, 53_000).lapseAt())
        .isEqualTo(50_000 + GRACE_MILLIS + LEASE_MILLIS);
  }

  @Test
  void ownerThatHasReleasedItsTermGrantsNoMoreLeases() {
    leases.read(owner(1, MANY, true), 50_000);
    assertThat(leases.inherited(UNKNOWN, 53_000).lapseAt()).isEqualTo(50_000 + LEASE_MILLIS);
  }

  @Test
  void ownerWhoseProcessHasEndedGrantsNoMoreLeases() {
    leases.read(owner(1, MANY, false), 50_000);
    assertThat(leases.inherited(51_000, 53_000).lapseAt()).isEqualTo(51_000 + LEASE_MILLIS);
  }

  /** Guards against a second run beside one of the owner before, which need not have ended. */
  @Test
  void ownersBeforeTheLastMayGrantLeasesForTheGraceAfterItsClaim() {
    leases.read(owner(1, MANY, false), 40_000);
    leases.read(owner(2, 0, false), 50_000);
    leases.read(owner(2, 5, false), 51_000);
    assertThat(leases.inherited(51_500, 53_000).lapseAt())
        .isEqualTo(50_000 + GRACE_MILLIS + LEASE_MILLIS);
  }

  /** The last owner is known to have ended only after the claim. */
  @Test
  void leasesLapseSoonerOnceTheLastOwnerIsKnownToHaveEnded() {
    leases.read(owner(2, new LeaseBounds(true, 3_000, Map.of("x1", 700L))), 50_000);
    InheritedLeases shortened = leases.inherited(UNKNOWN, 51_000).lastOwnerEnded(52_000);
    assertThat(shortened.lapseAt("x2")).isEqualTo(52_000 + LEASE_MILLIS);
    assertThat(shortened.lapseAt("x1")).isEqualTo(50_700);
  }

  /** Guards against a second run beside one of the owner before, which need not have ended. */
  @Test
  void endOfTheLastOwnerSaysNothingOfTheOwnersBefore() {
    leases.read(owner(2, new LeaseBounds(true, 9_000, Map.of())), 50_000);
    InheritedLeases shortened = leases.inherited(UNKNOWN, 51_000).lastOwnerEnded(51_000);
    assertThat(shortened.lapseAt()).isEqualTo(59_000);
  }

  /** Guards against a wait that begins anew with each takeover or restart. */
  @Test
  void heartbeatsShowHowLongTheClaimHasBeenStored() {
    leases.read(owner(2, 10, false), 60_000);
    long claimedBy = 60_000 - (long) (2_000 * 0.98);
    assertThat(leases.inherited(60_000, 61_000).lapseAt())
        .isEqualTo(claimedBy + GRACE_MILLIS + LEASE_MILLIS);
  }

  @Test
  void leasesOfAnUnknownOwnerLastTheLongestPossibleTime() {
    assertThat(leases.inherited(UNKNOWN, 50_000).lapseAt())
        .isEqualTo(50_000 + GRACE_MILLIS + LEASE_MILLIS);
  }

  private static OwnerRecord owner(long term, LeaseBounds bounds) {
    return owner(term, MANY, false).withLeases(bounds);
  }

  /** Guards against a wait for leases of an owner that was still taking over. */
  @Test
  void ownerThatHasGrantedNoLeaseDoesNotProlongThoseOfEarlierOwners() {
    leases.read(owner(2, new LeaseBounds(false, 3_000, Map.of())), 50_000);
    assertThat(leases.inherited(UNKNOWN, 51_000).lapseAt()).isEqualTo(53_000);
  }

  @Test
  void leasesOfTheLastOwnerAndOfThoseBeforeAreBothWaitedFor() {
    leases.read(owner(2, new LeaseBounds(true, 3_000, Map.of())), 50_000);
    assertThat(leases.inherited(UNKNOWN, 51_000).lapseAt())
        .isEqualTo(50_000 + GRACE_MILLIS + LEASE_MILLIS);
    leases.read(owner(2, new LeaseBounds(true, 20_000, Map.of())), 50_000);
    assertThat(leases.inherited(UNKNOWN, 51_000).lapseAt()).isEqualTo(70_000);
  }

  @Test
  void leasesOnAnExecutorThatDidNotAnswerLapseAsItsOwnerHasRecorded() {
    leases.read(owner(2, new LeaseBounds(true, 3_000, Map.of("x1", 700L))), 50_000);
    InheritedLeases inherited = leases.inherited(UNKNOWN, 51_000);
    assertThat(inherited.lapseAt("x1")).isEqualTo(50_700);
    assertThat(inherited.lapseAt("x2")).isEqualTo(50_000 + GRACE_MILLIS + LEASE_MILLIS);
  }

  /** Guards against a wait that begins anew with each takeover. */
  @Test
  void claimCarriesOnWhatTheOwnerBeforeHasRecorded() {
    leases.read(owner(2, new LeaseBounds(true, 3_000, Map.of("x1", 700L, "x2", 100L))), 50_000);
    LeaseBounds claimed = leases.inherited(51_000, 50_300).bounds(50_300);
    assertThat(claimed)
        .isEqualTo(new LeaseBounds(false, 700 + LEASE_MILLIS, Map.of("x1", 400L, "x2", 0L)));
  }

  /** Guards against a longer lease that is cut short when the last owner is known to have ended. */
  @Test
  void longerLeaseOnAnExecutorLastsAsItsOwnerHasRecorded() {
    LeaseBounds recorded = new LeaseBounds(true, 3_000, Map.of("x1", 9_000L), Map.of("x1", 9_000L));
    leases.read(owner(2, recorded), 50_000);
    InheritedLeases shortened = leases.inherited(UNKNOWN, 50_000).lastOwnerEnded(50_000);
    assertThat(shortened.lapseAt("x1")).isEqualTo(50_000 + LEASE_MILLIS);
    assertThat(shortened.longLapseAt()).containsExactly("x1", 59_000L);
    assertThat(shortened.bounds(52_000).longLeaseMillis()).containsExactly("x1", 7_000L);
    assertThat(shortened.bounds(59_000).longLeaseMillis()).isEmpty();
  }

  /** During a rolling update, an owner of an earlier version follows one that records leases. */
  @Test
  void recordWithoutLeasesCountsFromItsClaim() {
    leases.read(owner(2, new LeaseBounds(false, 0, Map.of("x1", 0L))), 40_000);
    leases.read(owner(3, 0, false), 50_000);
    InheritedLeases inherited = leases.inherited(UNKNOWN, 50_000);
    assertThat(inherited.lapseAt()).isEqualTo(50_000 + GRACE_MILLIS + LEASE_MILLIS);
    assertThat(inherited.silentLapseAt()).isEmpty();
  }

  private JobSpec startTaskOfAMinute() {
    simulation.taskWorkMillis(id -> 60_000L);
    List.of("a", "b", "c").forEach(simulation::addHost);
    List.of("x1", "x2")
        .forEach(id -> simulation.addExecutor(id, "zone", new Resources(4_000, 4_000, 0)));
    simulation.time().run(20_000);
    StepSpec step = StepSpec.builder().resources(new Resources(500, 100, 0)).build();
    JobSpec spec =
        new JobSpec(
            "j1",
            ClusterSimulation.queue("quick", 0, null),
            "team",
            "p",
            List.of(step),
            0,
            0,
            0,
            0);
    simulation.submit(simulation.hosts().get(0), spec);
    simulation.time().run(1_000);
    return spec;
  }

  /** Returns the executor; the hosts are back after a second. */
  private FakeExecutor loseItsExecutorAndAllHosts() {
    FakeExecutor lost =
        simulation.executors().stream().filter(e -> !e.tasks().isEmpty()).toList().get(0);
    lost.crash();
    simulation.hosts().forEach(Host::kill);
    simulation.time().run(1_000);
    simulation.hosts().forEach(Host::start);
    return lost;
  }

  private boolean runs(JobSpec spec) {
    return simulation.executors().stream()
        .filter(FakeExecutor::isUp)
        .flatMap(e -> e.tasks().stream())
        .anyMatch(t -> t.job().equals(spec.id()));
  }

  /**
   * Guards against accepted work that does not run at the end of a day, after all hosts and the
   * executor of its task were killed: within one lease, the restart and a claim it has to run.
   */
  @Test
  void taskOfALostExecutorRunsAfterOneLeaseWhenAllHostsAreKilled() {
    JobSpec spec = startTaskOfAMinute();
    loseItsExecutorAndAllHosts();
    simulation.time().run(LEASE_MILLIS + 2_000);
    assertThat(runs(spec)).isTrue();
    assertThat(simulation.oracle().violations()).isEmpty();
  }

  /** Guards against a step that waits for a lease to lapse and leaves no trace in the log. */
  @Test
  void stepUnderAnExecutorThatIsNotReachedIsNamedInTheLog() {
    startTaskOfAMinute();
    FakeExecutor lost = loseItsExecutorAndAllHosts();
    simulation.time().run(LEASE_MILLIS - 1_000);
    assertThat(
            simulation.logLines().stream()
                .filter(l -> l.contains("STEP_WAITS") && l.contains("\"j1\""))
                .filter(l -> l.contains("LEASE: executor " + lost.id() + " does not answer"))
                .count())
        .isAtLeast(1L);
  }
}
