package io.cactusspring.soak;

import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.simulation.ConfigurationHistory;
import io.cactusspring.platform.standin.CallerClient;
import io.cactusspring.platform.standin.CallerClient.Answer;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Callers that ask each host directly, past the load balancer, for counts of queues that operators
 * add and remove, with keys that they add and revoke.
 */
final class DirectCallers {
  private static final int REQUEST_INTERVAL_MILLIS = 60;
  private static final int MIN_CHANGE_INTERVAL_MILLIS = 400;
  private static final int MAX_CHANGE_INTERVAL_MILLIS = 3_000;
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final List<Queue> QUEUES =
      List.of(Site.QUICK, Site.EXTRA, Site.OPEN, Site.UNKNOWN);

  private final Vertx vertx;
  private final Recorder recorder;
  private final CallerClient client;
  private final List<HostProcess> hosts;
  private final Operators operators;
  private final Random random;

  DirectCallers(
      Vertx vertx,
      Recorder recorder,
      CallerClient client,
      List<HostProcess> hosts,
      Operators operators,
      long seed) {
    this.vertx = vertx;
    this.recorder = recorder;
    this.client = client;
    this.hosts = hosts;
    this.operators = operators;
    random = new Random(seed);
  }

  /** Asks, and lets operators change the configuration, until a time. */
  void run(long until) {
    ask(until);
    change(until);
  }

  private void ask(long until) {
    if (recorder.now() >= until) {
      return;
    }
    vertx.setTimer(REQUEST_INTERVAL_MILLIS, id -> ask(until));
    HostProcess host = hosts.get(random.nextInt(hosts.size()));
    Queue queue = QUEUES.get(random.nextInt(QUEUES.size()));
    Optional<String> key = key();
    long sentAt = recorder.now();
    client
        .count(host.callerAddress(), queue, key, TIMEOUT_MILLIS)
        .onSuccess(
            answer ->
                recorder.record(
                    at ->
                        new Observation.Counted(
                            at, sentAt, host.name(), queue, key, verdict(answer))));
  }

  private Optional<String> key() {
    return switch (random.nextInt(4)) {
      case 0 -> Optional.empty();
      case 1 -> Optional.of(Site.firstKey(Site.LARGE));
      case 2 -> Optional.of("never-issued");
      default -> operators.lastExtraKey();
    };
  }

  private void change(long until) {
    long millis =
        MIN_CHANGE_INTERVAL_MILLIS
            + random.nextInt(MAX_CHANGE_INTERVAL_MILLIS - MIN_CHANGE_INTERVAL_MILLIS);
    vertx.setTimer(
        millis,
        id -> {
          if (recorder.now() < until) {
            operators.change();
            change(until);
          }
        });
  }

  private static ConfigurationHistory.Verdict verdict(Answer answer) {
    return switch (answer.verdict()) {
      case ACCEPTED -> ConfigurationHistory.Verdict.SERVED;
      case NO_QUEUE -> ConfigurationHistory.Verdict.NO_QUEUE;
      case UNKNOWN_KEY -> ConfigurationHistory.Verdict.UNKNOWN_KEY;
      default -> ConfigurationHistory.Verdict.UNRELATED;
    };
  }
}
