package io.cactusspring.soak;

import io.cactusspring.jobs.simulation.ConfigurationHistory;
import io.cactusspring.soak.Observation.Configured;
import io.cactusspring.soak.Observation.Counted;
import io.cactusspring.soak.Observation.HostImpaired;
import io.cactusspring.soak.Observation.HostStarted;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks which version of the configuration each direct request was decided by. */
final class ConfigurationChecks {
  /** Time after its acknowledgement from which a version decides at settled hosts. */
  static final long APPLY_MILLIS = 2_000;

  /** Time without a fault after which a host is settled. */
  static final long SETTLE_MILLIS = 3_000;

  /** Time after an answer from which a process must not decide by an older version. */
  private static final long ROLLBACK_MILLIS = 250;

  private final ConfigurationHistory history;
  private final Findings findings;
  private final List<HostImpaired> impairments = new ArrayList<>();
  private final Map<String, HostStarted> starts = new HashMap<>();

  ConfigurationChecks(SoakOracle.Settings settings, Findings findings) {
    this.findings = findings;
    history =
        new ConfigurationHistory(
            new ConfigurationHistory.Bounds(
                APPLY_MILLIS, settings.keyRevokeMillis(), ROLLBACK_MILLIS));
  }

  void configured(Configured change) {
    history.acknowledged(change.version(), change.queues(), change.organisations(), change.at());
  }

  void hostStarted(HostStarted start) {
    starts.put(start.host(), start);
  }

  void hostImpaired(HostImpaired impairment) {
    impairments.add(impairment);
  }

  void counted(Counted request) {
    HostStarted start = starts.get(request.host());
    history
        .check(
            new ConfigurationHistory.Answer(
                request.host() + "#" + (start == null ? 0 : start.at()),
                request.queue().callerHost(),
                request.queue().pathPrefix(),
                request.key(),
                request.sentAt(),
                request.at(),
                request.verdict(),
                isSettled(request, start)))
        .ifPresent(problem -> findings.add(request.at(), Rule.LATE_CONFIGURATION, problem));
  }

  private boolean isSettled(Counted request, HostStarted start) {
    long since = request.sentAt() - SETTLE_MILLIS;
    return (start == null || start.at() <= since)
        && impairments.stream()
            .filter(i -> i.host().isEmpty() || i.host().orElseThrow().equals(request.host()))
            .noneMatch(i -> i.at() <= request.at() && i.until() >= since);
  }
}
