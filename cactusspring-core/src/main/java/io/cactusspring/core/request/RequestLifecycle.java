package io.cactusspring.core.request;

/**
 * State machine of one request from arrival to final answer: which attempt is under way, what may
 * have run, and what may be answered. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class RequestLifecycle {
  /** Where a request stands. */
  public enum State {
    WAITING,
    SENT,
    BACKING_OFF,
    ENDED
  }

  /** What is to be done after an attempt ended. */
  public enum NextStep {
    /** Hand the answer over. */
    DELIVER,
    /** Send again: the attempt did not run. */
    RESEND,
    /** Send again, if retries are left: the attempt may have run, and may run twice. */
    RETRY,
    /** Answer that the outcome is unknown. */
    FAIL,
    /** Nobody waits any more. */
    DROP,
    /** The report is of an earlier attempt. */
    IGNORE
  }

  private final RequestSpec spec;
  private final RequestRules rules;
  private State state = State.WAITING;
  private int attempt;
  private int attemptsThatMayHaveRun;
  private String endpoint;
  private long sentNanos;
  private boolean abandoned;
  private boolean holdsUnit;

  RequestLifecycle(RequestSpec spec, RequestRules rules) {
    this.spec = spec;
    this.rules = rules;
  }

  public RequestSpec spec() {
    return spec;
  }

  public State state() {
    return state;
  }

  /** Number of the current attempt, from 1; 0 before the first. */
  public int attempt() {
    return attempt;
  }

  int attemptsThatMayHaveRun() {
    return attemptsThatMayHaveRun;
  }

  /** Endpoint of the current or last attempt; null before the first. */
  String endpoint() {
    return endpoint;
  }

  long sentNanos() {
    return sentNanos;
  }

  boolean holdsUnit() {
    return holdsUnit;
  }

  void setHoldsUnit(boolean value) {
    holdsUnit = value;
  }

  boolean isWaitingOrBackingOff() {
    return state == State.WAITING || state == State.BACKING_OFF;
  }

  boolean isEnded() {
    return state == State.ENDED;
  }

  /** What a refusal at this moment has to say. */
  Ran executionStatus() {
    return attemptsThatMayHaveRun > 0 ? Ran.UNKNOWN : Ran.NO;
  }

  /** Begins an attempt at an endpoint. */
  void startAttempt(String toEndpoint, long nowNanos) {
    expect(State.WAITING);
    state = State.SENT;
    attempt++;
    endpoint = toEndpoint;
    sentNanos = nowNanos;
  }

  /** Takes note of the end of an attempt. */
  NextStep attemptEnded(int reportedAttempt, AttemptOutcome outcome) {
    if (state != State.SENT || !rules.isCurrent(reportedAttempt, attempt)) {
      return NextStep.IGNORE;
    }
    state = State.WAITING;
    if (rules.mayHaveRun(outcome)) {
      attemptsThatMayHaveRun++;
    }
    if (abandoned) {
      return NextStep.DROP;
    }
    if (outcome instanceof AttemptOutcome.Answered) {
      return NextStep.DELIVER;
    }
    if (!rules.mayResend(spec.idempotent(), outcome)) {
      return NextStep.FAIL;
    }
    return rules.mayHaveRun(outcome) ? NextStep.RETRY : NextStep.RESEND;
  }

  void startBackoff() {
    expect(State.WAITING);
    state = State.BACKING_OFF;
  }

  void endBackoff() {
    expect(State.BACKING_OFF);
    state = State.WAITING;
  }

  /** The caller is gone: nothing more is sent, and a running attempt's answer is dropped. */
  void abandon() {
    abandoned = true;
  }

  void end() {
    state = State.ENDED;
  }

  private void expect(State expected) {
    if (state != expected) {
      throw new IllegalStateException(
          "request " + spec.id() + " is " + state + "; expected " + expected);
    }
  }
}
