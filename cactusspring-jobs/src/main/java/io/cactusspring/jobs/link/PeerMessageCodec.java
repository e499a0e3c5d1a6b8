package io.cactusspring.jobs.link;

import io.cactusspring.jobs.ledger.JobRecordMapper;
import io.cactusspring.jobs.ledger.JobStateMapper;
import io.cactusspring.jobs.link.PeerMessage.OwnerPhase;
import io.cactusspring.jobs.link.PeerMessage.VerdictKind;
import io.cactusspring.jobs.model.JobReference;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.protocol.ProtocolException;
import io.cactusspring.protocol.ThriftCodec;
import io.cactusspring.protocol.gen.link.AdviceMessage;
import io.cactusspring.protocol.gen.link.AdviceReplyMessage;
import io.cactusspring.protocol.gen.link.CancelMessage;
import io.cactusspring.protocol.gen.link.CountMessage;
import io.cactusspring.protocol.gen.link.CountReplyMessage;
import io.cactusspring.protocol.gen.link.FailureMessage;
import io.cactusspring.protocol.gen.link.HelloMessage;
import io.cactusspring.protocol.gen.link.JobReferenceMessage;
import io.cactusspring.protocol.gen.link.LinkMessage;
import io.cactusspring.protocol.gen.link.OwnerPhaseCode;
import io.cactusspring.protocol.gen.link.OwnerStatusMessage;
import io.cactusspring.protocol.gen.link.StateMessage;
import io.cactusspring.protocol.gen.link.StateReplyMessage;
import io.cactusspring.protocol.gen.link.SubmitMessage;
import io.cactusspring.protocol.gen.link.VerdictCode;
import io.cactusspring.protocol.gen.link.VerdictMessage;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.apache.thrift.TException;

/**
 * Encodes and decodes {@link PeerMessage}s in Thrift's compact protocol.
 *
 * @since 0.2
 */
public final class PeerMessageCodec {
  private PeerMessageCodec() {}

  /** Encodes a message, without a length prefix. */
  public static byte[] encode(PeerMessage message) {
    try {
      return ThriftCodec.write(toThrift(message));
    } catch (TException e) {
      throw new IllegalArgumentException("message cannot be encoded: " + message, e);
    }
  }

  private static LinkMessage toThrift(PeerMessage message) {
    return switch (message) {
      case PeerMessage.Hello m ->
          LinkMessage.hello(
              new HelloMessage(m.host(), m.incarnation()).setMilliProcessors(m.milliProcessors()));
      case PeerMessage.OwnerStatus m -> {
        OwnerStatusMessage status =
            new OwnerStatusMessage(
                m.incarnation(),
                m.term(),
                toCode(m.phase()),
                m.storeAgeMillis(),
                m.intervalMillis());
        m.successionRank().ifPresent(status::setSuccessionRank);
        if (!m.durationFactors().isEmpty()) {
          status.setDurationFactors(m.durationFactors());
        }
        yield LinkMessage.ownerStatus(status);
      }
      case PeerMessage.Submit m ->
          LinkMessage.submit(new SubmitMessage(m.id(), JobRecordMapper.toRecord(m.job())));
      case PeerMessage.Cancel m -> LinkMessage.cancel(new CancelMessage(m.id(), toThrift(m.job())));
      case PeerMessage.GetState m -> LinkMessage.state(new StateMessage(m.id(), toThrift(m.job())));
      case PeerMessage.CountWaiting m -> LinkMessage.count(new CountMessage(m.id(), m.queue()));
      case PeerMessage.GetAdvice m ->
          LinkMessage.advice(
              new AdviceMessage(
                  m.id(),
                  m.step().job(),
                  m.step().occurrence(),
                  m.step().step(),
                  m.executors(),
                  m.timeoutMillis()));
      case PeerMessage.Verdict m -> {
        VerdictMessage verdict = new VerdictMessage(m.id(), toCode(m.kind())).setReason(m.reason());
        m.retryAfterMillis().ifPresent(verdict::setRetryAfterMillis);
        yield LinkMessage.verdict(verdict);
      }
      case PeerMessage.StateReply m -> {
        StateReplyMessage reply = new StateReplyMessage(m.id());
        m.state().map(JobStateMapper::toCode).ifPresent(reply::setState);
        yield LinkMessage.stateReply(reply);
      }
      case PeerMessage.CountReply m ->
          LinkMessage.countReply(new CountReplyMessage(m.id(), m.jobs()));
      case PeerMessage.AdviceReply m ->
          LinkMessage.adviceReply(new AdviceReplyMessage(m.id(), m.tickets()));
      case PeerMessage.Failure m -> LinkMessage.failure(new FailureMessage(m.id(), m.reason()));
    };
  }

  private static JobReferenceMessage toThrift(JobReference job) {
    JobReferenceMessage message = new JobReferenceMessage(job.id(), job.queue());
    job.organisation().ifPresent(message::setOrganisation);
    return message;
  }

  private static OwnerPhaseCode toCode(OwnerPhase phase) {
    return switch (phase) {
      case NONE -> OwnerPhaseCode.NONE;
      case TAKING_OVER -> OwnerPhaseCode.TAKING_OVER;
      case ACTIVE -> OwnerPhaseCode.ACTIVE;
    };
  }

  private static VerdictCode toCode(VerdictKind kind) {
    return switch (kind) {
      case STORED -> VerdictCode.STORED;
      case REFUSED -> VerdictCode.REFUSED;
      case UNDECIDED -> VerdictCode.UNDECIDED;
      case UNKNOWN_JOB -> VerdictCode.UNKNOWN_JOB;
    };
  }

  /**
   * Decodes a message, without a length prefix.
   *
   * @throws ProtocolException if the bytes are not a valid message
   */
  public static PeerMessage decode(byte[] bytes) throws ProtocolException {
    try {
      LinkMessage message = ThriftCodec.read(bytes, new LinkMessage());
      if (!message.isSet()) {
        throw new ProtocolException(
            "message of " + bytes.length + " bytes has no known type", null);
      }
      return fromThrift(message);
    } catch (TException | IllegalArgumentException e) {
      throw new ProtocolException(
          "message of " + bytes.length + " bytes cannot be decoded: " + e.getMessage(), e);
    }
  }

  private static PeerMessage fromThrift(LinkMessage message) {
    return switch (message.getSetField()) {
      case HELLO -> {
        HelloMessage m = message.getHello();
        yield new PeerMessage.Hello(m.getHost(), m.getIncarnation(), m.getMilliProcessors());
      }
      case OWNER_STATUS -> {
        OwnerStatusMessage m = message.getOwnerStatus();
        yield new PeerMessage.OwnerStatus(
            m.getIncarnation(),
            m.getTerm(),
            toPhase(m.getPhase()),
            m.getStoreAgeMillis(),
            m.getIntervalMillis(),
            m.isSetSuccessionRank() ? OptionalInt.of(m.getSuccessionRank()) : OptionalInt.empty(),
            m.isSetDurationFactors() ? m.getDurationFactors() : Map.of());
      }
      case SUBMIT ->
          new PeerMessage.Submit(
              message.getSubmit().getId(), JobRecordMapper.toJobSpec(message.getSubmit().getJob()));
      case CANCEL ->
          new PeerMessage.Cancel(
              message.getCancel().getId(), toReference(message.getCancel().getJob()));
      case STATE ->
          new PeerMessage.GetState(
              message.getState().getId(), toReference(message.getState().getJob()));
      case COUNT ->
          new PeerMessage.CountWaiting(message.getCount().getId(), message.getCount().getQueue());
      case ADVICE -> {
        AdviceMessage m = message.getAdvice();
        yield new PeerMessage.GetAdvice(
            m.getId(),
            new StepId(m.getJob(), m.getOccurrence(), m.getStep()),
            m.getExecutors(),
            m.getTimeoutMillis());
      }
      case VERDICT -> {
        VerdictMessage m = message.getVerdict();
        yield new PeerMessage.Verdict(
            m.getId(),
            toKind(m.getVerdict()),
            m.isSetReason() ? m.getReason() : "",
            m.isSetRetryAfterMillis()
                ? OptionalLong.of(m.getRetryAfterMillis())
                : OptionalLong.empty());
      }
      case STATE_REPLY -> {
        StateReplyMessage m = message.getStateReply();
        yield new PeerMessage.StateReply(
            m.getId(), Optional.ofNullable(m.getState()).map(JobStateMapper::toState));
      }
      case COUNT_REPLY ->
          new PeerMessage.CountReply(
              message.getCountReply().getId(), message.getCountReply().getJobs());
      case ADVICE_REPLY ->
          new PeerMessage.AdviceReply(
              message.getAdviceReply().getId(), message.getAdviceReply().getTickets());
      case FAILURE ->
          new PeerMessage.Failure(message.getFailure().getId(), message.getFailure().getReason());
    };
  }

  private static JobReference toReference(JobReferenceMessage message) {
    return new JobReference(
        message.getId(),
        message.getQueue(),
        message.isSetOrganisation() ? Optional.of(message.getOrganisation()) : Optional.empty());
  }

  private static OwnerPhase toPhase(OwnerPhaseCode code) {
    return switch (code) {
      case NONE -> OwnerPhase.NONE;
      case TAKING_OVER -> OwnerPhase.TAKING_OVER;
      case ACTIVE -> OwnerPhase.ACTIVE;
    };
  }

  private static VerdictKind toKind(VerdictCode code) {
    return switch (code) {
      case STORED -> VerdictKind.STORED;
      case REFUSED -> VerdictKind.REFUSED;
      case UNDECIDED -> VerdictKind.UNDECIDED;
      case UNKNOWN_JOB -> VerdictKind.UNKNOWN_JOB;
    };
  }
}
