package io.cactusspring.soak;

import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.soak.Observation.Acknowledged;
import io.cactusspring.soak.Observation.Configured;
import io.cactusspring.soak.Observation.Ended;
import io.cactusspring.soak.Observation.Started;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** Checks that nothing starts once all attempts of a task, or of a gang, have failed. */
final class AttemptChecks {
  /** A start may be decided on a configuration that was replaced this long before. */
  private static final long CONFIGURATION_MILLIS = 10_000;

  private final Map<String, JobFacts> jobs;
  private final Findings findings;
  private final List<Configured> configurations = new ArrayList<>();

  AttemptChecks(Map<String, JobFacts> jobs, Findings findings) {
    this.jobs = jobs;
    this.findings = findings;
  }

  void configured(Configured configuration) {
    configurations.add(configuration);
  }

  void started(Started start) {
    JobFacts job = jobs.get(start.task().job());
    if (job == null || job.steps.get(start.task().step()).longRunning()) {
      return;
    }
    job.failedRuns(start.task())
        .started(start.task(), start.run(), start.at(), mostAttempts(job.queue, start.at()))
        .ifPresent(s -> findings.add(start.at(), Rule.ATTEMPTS_EXCEEDED, s));
  }

  /** Returns the most attempts that a configuration allows which may be in force. */
  private int mostAttempts(Queue queue, long at) {
    return IntStream.range(0, configurations.size())
        .filter(i -> replacedAt(i) > at - CONFIGURATION_MILLIS)
        .mapToObj(configurations::get)
        .flatMap(c -> c.queues().stream())
        .filter(q -> q.name().equals(queue.name()))
        .mapToInt(Queue::maxAttempts)
        .reduce(queue.maxAttempts(), Math::max);
  }

  private long replacedAt(int index) {
    return index + 1 < configurations.size() ? configurations.get(index + 1).at() : Long.MAX_VALUE;
  }

  void ended(Ended end) {
    JobFacts job = jobs.get(end.task().job());
    if (job != null && end.reason() == EndReason.FAILED) {
      job.failedRuns(end.task()).failed(end.task(), end.run(), end.at());
    }
  }

  void acknowledged(Acknowledged end) {
    JobFacts job = jobs.get(end.task().job());
    if (job != null && end.reason() == EndReason.FAILED) {
      job.failedRuns(end.task())
          .acknowledged(end.task(), end.run())
          .ifPresent(s -> findings.add(end.at(), Rule.ATTEMPTS_EXCEEDED, s));
    }
  }
}
