package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.SiteConfiguration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the agreed rates and the use of organisations. */
final class OrganisationAccountsTest {
  private static final double CAPACITY = 10;

  private final OrganisationAccounts accounts = new OrganisationAccounts();
  private final List<Long> surplus = new ArrayList<>();

  private void configure(Map<String, Double> weights) {
    accounts.configure(
        new SiteConfiguration(
            1,
            List.of(),
            List.of(),
            weights.entrySet().stream()
                .map(
                    e ->
                        new Organisation(
                            e.getKey(), Set.of(), e.getValue(), new Resources(0, 0, 0)))
                .toList()));
  }

  private void submit(String organisation, long acceptedAt) {
    accounts.submitted(organisation, acceptedAt, () -> surplus.add(acceptedAt));
  }

  private Map<String, Double> useAfter(long millis) {
    return accounts.useOverEntitlement("svc", ResourceKind.PROCESSORS, CAPACITY, millis);
  }

  private void processorsChanged(String organisation, long milliProcessors, int runs, long now) {
    Resources one = new Resources(milliProcessors, 0, 0);
    accounts.runsChanged(organisation, "svc", one, runs, now);
  }

  /** One organisation sends seven times its usual rate for 6 s. */
  @Test
  void submissionsBeyondTheAgreedRateAndItsBurstAreSurplus() {
    configure(Map.of("a", 2.0));
    for (int i = 0; i < 84; i++) {
      submit("a", 10_000 + i * 1_000L / 14);
    }
    // 6 s at 2 a second and a burst of 2 s; 84 submissions in all.
    assertThat(surplus).hasSize(84 - 12 - 4 + 1);
    surplus.clear();
    submit("a", 30_000);
    assertThat(surplus).isEmpty();
  }

  /** One job every 4 s from an organisation that agreed on one every 4 s. */
  @Test
  void organisationWithASmallWeightMaySubmitSingleJobs() {
    configure(Map.of("a", 0.25));
    for (int i = 0; i < 10; i++) {
      submit("a", 4_000 * i);
    }
    assertThat(surplus).isEmpty();
  }

  @Test
  void allSubmissionsOfAnOrganisationWithWeightZeroAreSurplus() {
    configure(Map.of("a", 0.0, "nan", Double.NaN));
    submit("a", 1_000);
    submit("nan", 2_000);
    assertThat(surplus).containsExactly(1_000L, 2_000L);
  }

  @Test
  void organisationsThatAreNotConfiguredHaveNoSurplusAndNoEntitlement() {
    configure(Map.of("a", 1.0));
    for (int i = 0; i < 50; i++) {
      submit("", i);
      submit("gone", i);
    }
    accounts.unfinishedJobsChanged("gone", "svc", 50);
    processorsChanged("gone", 9_000, 1, 0);
    assertThat(surplus).isEmpty();
    assertThat(useAfter(60_000)).doesNotContainKey("gone");
  }

  /** Takeover: the jobs are read from the store in no order and before the configuration. */
  @Test
  void storedSubmissionsAreComparedWithTheAgreedRateInTheOrderOfAcceptance() {
    submit("a", 5_000);
    submit("a", 1_000);
    submit("a", 5_002);
    submit("a", 5_001);
    configure(Map.of("a", 1.0));
    assertThat(surplus).containsExactly(5_002L);
  }

  /** Jobs of 5 s were stored in the inbox by hosts that could not reach the owner. */
  @Test
  void submissionThatBecomesKnownLateIsNotSurplus() {
    configure(Map.of("a", 1.0));
    for (int i = 0; i < 5; i++) {
      submit("a", 10_000 + i);
    }
    surplus.clear();
    submit("a", 5_000);
    assertThat(surplus).isEmpty();
  }

  /** Two organisations have work, and one of them got three quarters of the capacity for 20 s. */
  @Test
  void useIsComparedWithTheShareOfTheOrganisationsThatHaveWork() {
    configure(Map.of("a", 1.0, "b", 1.0, "idle", 8.0));
    accounts.unfinishedJobsChanged("a", "svc", 1);
    accounts.unfinishedJobsChanged("b", "svc", 1);
    processorsChanged("a", 7_500, 1, 0);
    processorsChanged("b", 2_500, 1, 0);
    Map<String, Double> use = useAfter(20_000);
    assertThat(use.get("a")).isWithin(0.1).of(1.5);
    assertThat(use.get("b")).isWithin(0.1).of(0.5);
    assertThat(use).doesNotContainKey("idle");
  }

  /** A surge has ended; its organisation must not be demoted for long. */
  @Test
  void useIsForgottenWithinSeconds() {
    configure(Map.of("a", 1.0, "b", 1.0));
    accounts.unfinishedJobsChanged("a", "svc", 1);
    accounts.unfinishedJobsChanged("b", "svc", 1);
    processorsChanged("a", 10_000, 1, 0);
    processorsChanged("a", 10_000, -1, 20_000);
    assertThat(useAfter(20_000).get("a")).isGreaterThan(1.9);
    assertThat(useAfter(30_000).get("a")).isLessThan(0.3);
  }

  /** Takeover: runs are adopted, and their earlier use is unknown. */
  @Test
  void newAccountStartsWithoutUse() {
    configure(Map.of("a", 1.0, "b", 1.0));
    accounts.unfinishedJobsChanged("a", "svc", 1);
    accounts.unfinishedJobsChanged("b", "svc", 1);
    processorsChanged("a", 10_000, 1, 1_000);
    assertThat(useAfter(1_000).get("a")).isEqualTo(0.0);
  }

  /** Failure: long-running tasks take the whole capacity, or all weights are 0. */
  @Test
  void useWithoutAnyEntitlementIsAboveIt() {
    configure(Map.of("a", 0.0));
    accounts.unfinishedJobsChanged("a", "svc", 1);
    processorsChanged("a", 1_000, 1, 0);
    assertThat(useAfter(5_000).get("a")).isPositiveInfinity();
    assertThat(accounts.useOverEntitlement("svc", ResourceKind.PROCESSORS, -5, 5_000).get("a"))
        .isPositiveInfinity();
  }
}
