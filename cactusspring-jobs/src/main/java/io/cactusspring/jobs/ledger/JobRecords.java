package io.cactusspring.jobs.ledger;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.AdviceTerms;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.protocol.gen.ledger.AdviceTermsRecord;
import io.cactusspring.protocol.gen.ledger.JobRecord;
import io.cactusspring.protocol.gen.ledger.QueueRecord;
import io.cactusspring.protocol.gen.ledger.StepRecord;

/** Maps submissions to their Thrift form and back. */
final class JobRecords {
  private JobRecords() {}

  static JobRecord record(JobSpec spec) {
    return new JobRecord()
        .setId(spec.id())
        .setQueue(record(spec.queue()))
        .setOrganisation(spec.organisation())
        .setPayload(spec.payload())
        .setSteps(spec.steps().stream().map(JobRecords::record).toList())
        .setStartMillis(spec.startMillis())
        .setIntervalMillis(spec.intervalMillis())
        .setRepetitions(spec.repetitions())
        .setAcceptedMillis(spec.acceptedMillis());
  }

  static JobSpec spec(JobRecord read) {
    return new JobSpec(
        read.getId(),
        queue(read.getQueue()),
        read.getOrganisation(),
        read.getPayload(),
        read.getSteps().stream().map(JobRecords::step).toList(),
        read.getStartMillis(),
        read.getIntervalMillis(),
        read.getRepetitions(),
        read.getAcceptedMillis());
  }

  private static QueueRecord record(Queue queue) {
    QueueRecord written =
        new QueueRecord()
            .setName(queue.name())
            .setCallerHost(queue.callerHost())
            .setPathPrefix(queue.pathPrefix())
            .setServiceName(queue.service())
            .setPriority(queue.priority())
            .setMaxAttempts(queue.maxAttempts())
            .setStretch(queue.stretch())
            .setTargetLatencyMillis(queue.targetLatencyMillis())
            .setOpen(queue.open());
    if (queue.needsAdvice()) {
      written.setAdvice(record(queue.advice()));
    }
    return written;
  }

  private static Queue queue(QueueRecord read) {
    return new Queue(
        read.getName(),
        read.getCallerHost(),
        read.getPathPrefix(),
        read.getServiceName(),
        read.getPriority(),
        read.getMaxAttempts(),
        read.getStretch(),
        read.getTargetLatencyMillis(),
        read.isSetAdvice() ? terms(read.getAdvice()) : null,
        read.isOpen());
  }

  private static AdviceTermsRecord record(AdviceTerms terms) {
    return new AdviceTermsRecord()
        .setBaseMillis(terms.baseMillis())
        .setPerExecutorMillis(terms.perExecutorMillis())
        .setValidityMillis(terms.validityMillis());
  }

  private static AdviceTerms terms(AdviceTermsRecord read) {
    return new AdviceTerms(
        read.getBaseMillis(), read.getPerExecutorMillis(), read.getValidityMillis());
  }

  private static StepRecord record(StepSpec step) {
    StepRecord written =
        new StepRecord()
            .setTasks(step.tasks())
            .setMilliProcessors(step.resources().milliProcessors())
            .setMemoryMib(step.resources().memoryMib())
            .setEstimateMillis(step.estimateMillis());
    // Most steps use few of these, and a field that is left out takes no room.
    if (step.resources().accelerators() > 0) {
      written.setAccelerators(step.resources().accelerators());
    }
    if (!step.after().isEmpty()) {
      written.setAfter(step.after());
    }
    if (step.checkpoints()) {
      written.setCheckpoints(true);
    }
    if (step.gang()) {
      written.setGang(true);
    }
    if (step.sameRack()) {
      written.setSameRack(true);
    }
    if (!step.requiredLabel().isEmpty()) {
      written.setRequiredLabel(step.requiredLabel());
    }
    if (!step.dataRack().isEmpty()) {
      written.setDataRack(step.dataRack());
    }
    if (step.maxPerExecutor() > 0) {
      written.setMaxPerExecutor(step.maxPerExecutor());
    }
    if (step.speculative()) {
      written.setSpeculative(true);
    }
    if (step.longRunning()) {
      written.setLongRunning(true);
    }
    if (!step.image().isEmpty()) {
      written.setImage(step.image());
    }
    if (step.targetMillis() > 0) {
      written.setTargetMillis(step.targetMillis());
    }
    if (step.fills()) {
      written.setFills(true);
    }
    if (step.maxUnavailable() > 0) {
      written.setMaxUnavailable(step.maxUnavailable());
    }
    return written;
  }

  private static StepSpec step(StepRecord read) {
    return StepSpec.builder()
        .tasks(read.getTasks())
        .resources(
            new Resources(read.getMilliProcessors(), read.getMemoryMib(), read.getAccelerators()))
        .estimateMillis(read.getEstimateMillis())
        .after(read.getAfter())
        .checkpoints(read.isCheckpoints())
        .gang(read.isGang())
        .sameRack(read.isSameRack())
        .requiredLabel(read.getRequiredLabel())
        .dataRack(read.getDataRack())
        .maxPerExecutor(read.getMaxPerExecutor())
        .speculative(read.isSpeculative())
        .longRunning(read.isLongRunning())
        .image(read.getImage())
        .targetMillis(read.getTargetMillis())
        .fills(read.isFills())
        .maxUnavailable(read.getMaxUnavailable())
        .build();
  }
}
