package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.SiteConfiguration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What each organisation has used and submitted in the last seconds, compared with what its weight
 * entitles it to.
 *
 * <p>Organisations that the configuration does not contain have no entitlement and no agreed rate;
 * their jobs are neither above the entitlement nor surplus. Long-running tasks do not count as use,
 * because they are never demoted.
 */
final class OrganisationAccounts {
  /** Long enough to cover a batch step (4 s), short enough to end within a burst of 6 s. */
  static final long USE_TIME_CONSTANT_MILLIS = 5_000;

  /** Callers that submit at the agreed rate on average may be this far ahead of it. */
  static final long BURST_MILLIS = 2_000;

  /**
   * A submission that becomes known this long after a later one was stored by a host that could not
   * reach the owner. The tokens of its time may have been lost, so it is not held against its
   * organisation.
   */
  static final long LATE_SUBMISSION_MILLIS = 1_000;

  /** Less than this of any resource is what rounding leaves, not use. */
  private static final double MIN_USE = 0.001;

  private static final class Account {
    private final Map<String, ServiceUse> useByService = new HashMap<>();
    private double tokens;
    private long tokensAt = Long.MIN_VALUE;

    private ServiceUse use(String service) {
      return useByService.computeIfAbsent(service, s -> new ServiceUse());
    }
  }

  /** What an organisation uses of the executors of one service. */
  private static final class ServiceUse {
    private final Map<ResourceKind, RecentAverage> amounts = new EnumMap<>(ResourceKind.class);
    private int unfinishedJobs;

    private RecentAverage amount(ResourceKind kind) {
      return amounts.computeIfAbsent(kind, k -> new RecentAverage(USE_TIME_CONSTANT_MILLIS));
    }
  }

  private record Submission(String organisation, long acceptedAt, Runnable markSurplus) {}

  private final Map<String, Account> accounts = new HashMap<>();
  private final List<Submission> beforeConfiguration = new ArrayList<>();
  private SiteConfiguration configuration = SiteConfiguration.NONE;

  /**
   * Applies a configuration. Submissions that were recorded before the first one, such as those
   * that a takeover finds in the store, are then compared with the agreed rates in the order of
   * their acceptance.
   */
  void configure(SiteConfiguration current) {
    configuration = current;
    beforeConfiguration.stream()
        .sorted(Comparator.comparingLong(Submission::acceptedAt))
        .forEach(this::takeToken);
    beforeConfiguration.clear();
  }

  /**
   * Records a submission.
   *
   * @param acceptedAt when the submission was accepted, in milliseconds of the monotonic clock
   * @param markSurplus called if the submission exceeds the agreed rate of the organisation
   */
  void submitted(String organisation, long acceptedAt, Runnable markSurplus) {
    Submission submission = new Submission(organisation, acceptedAt, markSurplus);
    if (configuration == SiteConfiguration.NONE) {
      beforeConfiguration.add(submission);
    } else {
      takeToken(submission);
    }
  }

  private void takeToken(Submission submission) {
    Optional<Organisation> organisation = configuration.organisation(submission.organisation);
    if (organisation.isEmpty()) {
      return;
    }
    double weight = weight(organisation.get());
    Account account = account(submission.organisation);
    // An organisation with less than half a job a second may submit single jobs.
    double max = weight == 0 ? 0 : Math.max(1, weight * BURST_MILLIS / 1_000);
    long at = submission.acceptedAt;
    boolean late = at < account.tokensAt - LATE_SUBMISSION_MILLIS;
    if (account.tokensAt == Long.MIN_VALUE) {
      late = false;
      account.tokens = max;
      account.tokensAt = at;
    }
    double refill = weight * Math.max(0, at - account.tokensAt) / 1_000;
    account.tokens = Math.min(max, account.tokens + refill);
    account.tokensAt = Math.max(account.tokensAt, at);
    if (account.tokens >= 1) {
      account.tokens--;
    } else if (!late) {
      submission.markSurplus.run();
    }
  }

  private static double weight(Organisation organisation) {
    double weight = organisation.weight();
    return Double.isFinite(weight) ? Math.max(0, weight) : 0;
  }

  private Account account(String organisation) {
    return accounts.computeIfAbsent(organisation, name -> new Account());
  }

  /** Records that an organisation has one more or one less unfinished job at a service. */
  void unfinishedJobsChanged(String organisation, String service, int difference) {
    account(organisation).use(service).unfinishedJobs += difference;
  }

  /**
   * Records that more or fewer runs of an organisation occupy executors of a service.
   *
   * @param one what one of these runs occupies
   * @param runs the number of runs; negative if they have ended
   */
  void runsChanged(String organisation, String service, Resources one, int runs, long now) {
    ServiceUse use = account(organisation).use(service);
    for (ResourceKind kind : ResourceKind.values()) {
      double amount = kind.of(one);
      if (amount > 0) {
        use.amount(kind).changeLevel(runs * amount, now);
      }
    }
  }

  /**
   * Returns the average use of a service's resource by each organisation over its entitlement. The
   * entitlement is the share of the capacity that corresponds to the weight of the organisation
   * among all organisations with unfinished jobs at the service. Organisations without an account
   * are left out.
   *
   * @param capacity amount of the resource that is shared between the organisations
   */
  Map<String, Double> useOverEntitlement(
      String service, ResourceKind kind, double capacity, long now) {
    Map<String, Double> weights = new HashMap<>();
    accounts.forEach(
        (name, account) -> {
          if (account.use(service).unfinishedJobs > 0) {
            configuration.organisation(name).ifPresent(o -> weights.put(name, weight(o)));
          }
        });
    double sum = weights.values().stream().mapToDouble(Double::doubleValue).sum();
    Map<String, Double> ratios = new HashMap<>();
    weights.forEach(
        (name, weight) -> {
          double use = account(name).use(service).amount(kind).value(now);
          double entitlement = sum == 0 ? 0 : Math.max(0, capacity) * weight / sum;
          ratios.put(name, use < MIN_USE ? 0 : use / entitlement);
        });
    return ratios;
  }
}
