package io.cactusspring.jobs.ledger;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.protocol.gen.ledger.AdviceTermsRecord;
import io.cactusspring.protocol.gen.ledger.JobRecord;
import io.cactusspring.protocol.gen.ledger.QueueRecord;
import io.cactusspring.protocol.gen.ledger.StepRecord;

/**
 * Converts submissions to Thrift records and back.
 *
 * @since 0.2
 */
public final class JobRecordMapper {
  private JobRecordMapper() {}

  public static JobRecord toRecord(JobSpec spec) {
    return new JobRecord()
        .setId(spec.id())
        .setQueue(toRecord(spec.queue()))
        .setOrganisation(spec.organisation())
        .setPayload(spec.payload())
        .setSteps(spec.steps().stream().map(JobRecordMapper::toRecord).toList())
        .setStartMillis(spec.startMillis())
        .setIntervalMillis(spec.intervalMillis())
        .setRepetitions(spec.repetitions())
        .setAcceptedMillis(spec.acceptedMillis());
  }

  /**
   * @throws IllegalArgumentException if a field of the record is out of range
   */
  public static JobSpec toJobSpec(JobRecord record) {
    return new JobSpec(
        record.getId(),
        toQueue(record.getQueue()),
        record.getOrganisation(),
        record.getPayload(),
        record.getSteps().stream().map(JobRecordMapper::toStepSpec).toList(),
        record.getStartMillis(),
        record.getIntervalMillis(),
        record.getRepetitions(),
        record.getAcceptedMillis());
  }

  private static QueueRecord toRecord(Queue queue) {
    QueueRecord record =
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
      record.setAdvice(toRecord(queue.advice()));
    }
    return record;
  }

  private static Queue toQueue(QueueRecord record) {
    return new Queue(
        record.getName(),
        record.getCallerHost(),
        record.getPathPrefix(),
        record.getServiceName(),
        record.getPriority(),
        record.getMaxAttempts(),
        record.getStretch(),
        record.getTargetLatencyMillis(),
        record.isSetAdvice() ? toAdviceSettings(record.getAdvice()) : null,
        record.isOpen());
  }

  private static AdviceTermsRecord toRecord(AdviceSettings settings) {
    return new AdviceTermsRecord()
        .setBaseMillis(settings.baseMillis())
        .setPerExecutorMillis(settings.perExecutorMillis())
        .setValidityMillis(settings.validityMillis());
  }

  private static AdviceSettings toAdviceSettings(AdviceTermsRecord record) {
    return new AdviceSettings(
        record.getBaseMillis(), record.getPerExecutorMillis(), record.getValidityMillis());
  }

  private static StepRecord toRecord(StepSpec step) {
    StepRecord record =
        new StepRecord()
            .setTasks(step.tasks())
            .setMilliProcessors(step.resources().milliProcessors())
            .setMemoryMib(step.resources().memoryMib())
            .setEstimateMillis(step.estimateMillis());
    // Fields with default values are left unset: most steps use few of these, and unset fields take
    // no space in the encoded record.
    if (step.resources().accelerators() > 0) {
      record.setAccelerators(step.resources().accelerators());
    }
    if (!step.after().isEmpty()) {
      record.setAfter(step.after());
    }
    if (step.checkpoints()) {
      record.setCheckpoints(true);
    }
    if (step.gang()) {
      record.setGang(true);
    }
    if (step.sameRack()) {
      record.setSameRack(true);
    }
    if (!step.requiredLabel().isEmpty()) {
      record.setRequiredLabel(step.requiredLabel());
    }
    if (!step.dataRack().isEmpty()) {
      record.setDataRack(step.dataRack());
    }
    if (step.maxPerExecutor() > 0) {
      record.setMaxPerExecutor(step.maxPerExecutor());
    }
    if (step.speculative()) {
      record.setSpeculative(true);
    }
    if (step.longRunning()) {
      record.setLongRunning(true);
    }
    if (!step.image().isEmpty()) {
      record.setImage(step.image());
    }
    if (step.targetMillis() > 0) {
      record.setTargetMillis(step.targetMillis());
    }
    if (step.fills()) {
      record.setFills(true);
    }
    if (step.maxUnavailable() > 0) {
      record.setMaxUnavailable(step.maxUnavailable());
    }
    return record;
  }

  private static StepSpec toStepSpec(StepRecord record) {
    return StepSpec.builder()
        .tasks(record.getTasks())
        .resources(
            new Resources(
                record.getMilliProcessors(), record.getMemoryMib(), record.getAccelerators()))
        .estimateMillis(record.getEstimateMillis())
        .after(record.getAfter())
        .checkpoints(record.isCheckpoints())
        .gang(record.isGang())
        .sameRack(record.isSameRack())
        .requiredLabel(record.getRequiredLabel())
        .dataRack(record.getDataRack())
        .maxPerExecutor(record.getMaxPerExecutor())
        .speculative(record.isSpeculative())
        .longRunning(record.isLongRunning())
        .image(record.getImage())
        .targetMillis(record.getTargetMillis())
        .fills(record.isFills())
        .maxUnavailable(record.getMaxUnavailable())
        .build();
  }
}
