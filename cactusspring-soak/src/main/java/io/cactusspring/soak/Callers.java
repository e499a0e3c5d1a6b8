package io.cactusspring.soak;

import io.cactusspring.platform.standin.CallerClient;
import io.cactusspring.platform.standin.CallerClient.Answer;
import io.cactusspring.platform.standin.CallerClient.Verdict;
import io.cactusspring.soak.Observation.Answered;
import io.cactusspring.soak.Observation.Request;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;

/** Callers that submit, query and cancel the planned jobs, and retry what failed. */
final class Callers {
  private static final long WAIT_MILLIS = 3_000;
  private static final long RETRY_MILLIS = 200;
  private static final long POLL_MILLIS = 1_000;
  private static final long ENDED_POLL_MILLIS = 6_000;
  private static final long GIVE_UP_MILLIS = 20_000;
  private static final int QUERIES_OF_UNDECIDED_JOBS = 3;
  private static final int LATE_REPEATS_PERCENT = 30;
  private static final int MIN_LATE_REPEAT_MILLIS = 500;
  private static final int MAX_LATE_REPEAT_MILLIS = 10_000;

  private final Vertx vertx;
  private final Recorder recorder;
  private final CallerClient client;
  private final Balancer balancer;
  private final Random random;
  private final boolean repeatsLate;
  private final Map<String, Arrival> byId = new HashMap<>();
  private boolean keyWithdrawn;
  private Optional<String> extraKey = Optional.empty();
  private long oldKeyUntil;

  /**
   * Creates callers without jobs.
   *
   * @param repeatsLate whether some submissions arrive once more, seconds after they were accepted
   */
  Callers(
      Vertx vertx,
      Recorder recorder,
      CallerClient client,
      Balancer balancer,
      long seed,
      boolean repeatsLate) {
    this.vertx = vertx;
    this.recorder = recorder;
    this.client = client;
    this.balancer = balancer;
    random = new Random(seed);
    this.repeatsLate = repeatsLate;
  }

  /** Schedules the submissions relative to now. */
  void schedule(List<Arrival> arrivals) {
    arrivals.forEach(
        a -> {
          byId.put(a.id(), a);
          after(a.at(), () -> new Caller(a).begin());
        });
  }

  Optional<Arrival> arrival(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Makes callers change to the second key; about half of them use the first one for longer. */
  void withdrawKey(long oldKeyUseMillis) {
    keyWithdrawn = true;
    oldKeyUntil = recorder.now() + oldKeyUseMillis;
  }

  /** Makes callers of one organisation use a key for half of their requests. */
  void useExtraKey(Optional<String> key) {
    extraKey = key;
  }

  private String key(String organisation) {
    if (organisation.equals(Site.EXTRA_KEY_OWNER) && extraKey.isPresent() && random.nextBoolean()) {
      return extraKey.get();
    }
    boolean second =
        organisation.equals(Site.ROTATING)
            && keyWithdrawn
            && (recorder.now() > oldKeyUntil || random.nextBoolean());
    return second ? Site.secondKey(organisation) : Site.firstKey(organisation);
  }

  private void after(long millis, Runnable action) {
    vertx.setTimer(Math.max(1, millis), id -> action.run());
  }

  private final class Caller {
    private final Arrival job;
    private boolean accepted;
    private int unknownAnswers;

    Caller(Arrival job) {
      this.job = job;
    }

    void begin() {
      submit();
      if (job.cancelAfterMillis() >= 0) {
        after(job.cancelAfterMillis(), this::cancel);
      }
    }

    private boolean hasGivenUp() {
      return recorder.now() > job.at() + GIVE_UP_MILLIS;
    }

    private void submit() {
      submit(this::submitted, this::submit);
    }

    private void submit(Consumer<Answer> handler, Runnable whenNoneIsReady) {
      call(
          Request.SUBMISSION,
          target -> {
            recorder.record(
                at ->
                    new Observation.Submitted(
                        at, job.id(), job.organisation(), job.queue(), job.steps()));
            return client.submit(
                target.host().callerAddress(),
                job.queue(),
                target.key(),
                job.id(),
                job.steps(),
                WAIT_MILLIS);
          },
          handler,
          whenNoneIsReady);
    }

    private void repeatLate() {
      if (repeatsLate && random.nextInt(100) < LATE_REPEATS_PERCENT) {
        long millis =
            MIN_LATE_REPEAT_MILLIS
                + random.nextInt(MAX_LATE_REPEAT_MILLIS - MIN_LATE_REPEAT_MILLIS);
        after(millis, () -> submit(answer -> {}, () -> {}));
      }
    }

    private void submitted(Answer answer) {
      switch (answer.verdict()) {
        case ACCEPTED -> {
          accepted = true;
          after(random.nextInt((int) POLL_MILLIS), this::query);
          repeatLate();
        }
        case CONFLICT, INVALID, NO_SUCH_JOB, NO_QUEUE -> {}
        case REJECTED, UNKNOWN_KEY -> retry(Math.max(POLL_MILLIS, answer.retryAfterMillis()));
        case UNDECIDED, NOT_SENT, UNREAD, CUT, TIMEOUT -> retry(RETRY_MILLIS);
      }
    }

    private void retry(long millis) {
      if (hasGivenUp()) {
        query();
      } else {
        after(millis, this::submit);
      }
    }

    private void query() {
      call(
          Request.QUERY,
          t -> client.state(t.host().callerAddress(), job.queue(), t.key(), job.id(), WAIT_MILLIS),
          this::queried,
          this::query);
    }

    private void queried(Answer answer) {
      unknownAnswers += answer.verdict() == Verdict.NO_SUCH_JOB ? 1 : 0;
      boolean ended = answer.state() != null && answer.state().isFinal();
      if (ended) {
        // The job stays known, also to owners that take over later.
        after(ENDED_POLL_MILLIS, this::query);
      } else if (unknownAnswers < QUERIES_OF_UNDECIDED_JOBS) {
        after(POLL_MILLIS, this::query);
      }
    }

    private void cancel() {
      if (!accepted) {
        if (!hasGivenUp()) {
          after(RETRY_MILLIS, this::cancel);
        }
        return;
      }
      call(
          Request.CANCELLATION,
          t -> {
            recorder.record(at -> new Observation.CancelSent(at, job.id()));
            return client.cancel(
                t.host().callerAddress(), job.queue(), t.key(), job.id(), WAIT_MILLIS);
          },
          answer -> {
            if (answer.verdict() != Verdict.ACCEPTED && answer.verdict() != Verdict.NO_SUCH_JOB) {
              after(RETRY_MILLIS, this::cancel);
            }
          },
          this::cancel);
    }

    private void call(
        Request request,
        Function<Target, Future<Answer>> send,
        Consumer<Answer> handler,
        Runnable whenNoneIsReady) {
      Optional<HostProcess> host = balancer.pick();
      if (host.isEmpty()) {
        after(RETRY_MILLIS, whenNoneIsReady);
        return;
      }
      Target target = new Target(host.get(), key(job.organisation()));
      long sentAt = recorder.now();
      send.apply(target)
          .onSuccess(
              answer -> {
                recorder.record(at -> answered(at, sentAt, request, target, answer));
                handler.accept(answer);
              });
    }

    private Answered answered(long at, long sentAt, Request request, Target target, Answer answer) {
      return new Answered(
          at,
          sentAt,
          target.host().name(),
          request,
          job.id(),
          target.key(),
          answer.verdict(),
          answer.state(),
          answer.retryAfterMillis());
    }
  }

  private record Target(HostProcess host, String key) {}
}
