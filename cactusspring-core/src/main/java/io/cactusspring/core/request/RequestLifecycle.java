package io.cactusspring.core.request;

/**
 * State machine of one request from arrival to final response: the current attempt, whether the
 * request may have run, and which response is allowed. Not thread-safe.
 *
 * @since 0.1
 */
public final class RequestLifecycle {
  /** State of a request. */
  public enum State {
    /** Queued for an endpoint. */
    WAITING,
    /** An attempt is in flight. */
    SENT,
    /** Delayed before a retry. */
    BACKING_OFF,
    /** The final response was decided. */
    ENDED
  }

  /** Action to take after an attempt has ended. */
  public enum NextStep {
    /** Return the response to the caller. */
    DELIVER,
    /** Send again at once: the attempt did not run. */
    RESEND,
    /** Send again if the retry policy allows: the request may have run and may run twice. */
    RETRY,
    /** Refuse the request: it may have run and must not be sent again. */
    FAIL,
    /** Discard the outcome: the caller has disconnected. */
    DROP,
    /** Ignore the report: it concerns an earlier attempt. */
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

  /** Returns the number of the current attempt, from 1; 0 before the first. */
  public int attempt() {
    return attempt;
  }

  int attemptsThatMayHaveRun() {
    return attemptsThatMayHaveRun;
  }

  /** Returns the endpoint of the current or last attempt; null before the first. */
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

  /** Returns the execution status that a refusal would report now. */
  ExecutionStatus executionStatus() {
    return attemptsThatMayHaveRun > 0 ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO;
  }

  /**
   * Starts an attempt at an endpoint.
   *
   * @throws IllegalStateException if the request is not waiting
   */
  void startAttempt(String toEndpoint, long nowNanos) {
    expect(State.WAITING);
    state = State.SENT;
    attempt++;
    endpoint = toEndpoint;
    sentNanos = nowNanos;
  }

  /** Records the end of an attempt and returns the action to take. */
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

  /**
   * Marks the request as abandoned by its caller: no further attempt is made, and the outcome of a
   * running attempt is discarded.
   */
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
