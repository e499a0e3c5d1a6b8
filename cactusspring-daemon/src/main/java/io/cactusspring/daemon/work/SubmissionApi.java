package io.cactusspring.daemon.work;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.request.ExecutionStatus;
import io.cactusspring.core.security.Identity;
import io.cactusspring.core.state.Claim;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.RunState;
import io.cactusspring.core.state.RunView;
import io.cactusspring.core.state.SubmissionView;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.control.HomeShardSelector;
import io.cactusspring.daemon.control.HostListController;
import io.cactusspring.daemon.http.Refusal;
import io.cactusspring.daemon.http.RefusalReason;
import io.cactusspring.daemon.http.RefusalWriter;
import io.cactusspring.daemon.http.RequestAttributes;
import io.vertx.core.Future;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.stream.Collectors;

/**
 * HTTP calls that submit, query and cancel batches and gangs of runs.
 *
 * @since 0.1
 */
public final class SubmissionApi {
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final long RETRY_MILLIS = 1_000;

  private final Cell cell;
  private final ConfirmingAppender appender;
  private final HomeShardSelector homeSelector;
  private final HostListController hosts;
  private final WaitReasons waitReasons;
  private final RefusalWriter refusals;

  /** Body of a submission. */
  record SubmitBody(
      String id,
      String team,
      @JsonProperty("gang") boolean gang,
      @JsonProperty(value = "tasks", required = true) int tasks,
      @JsonProperty(value = "task", required = true) TaskSpec task) {}

  record Submitted(String id, boolean accepted, ShardId home) {}

  record Cancelled(String id, boolean cancelled) {}

  record SubmissionStatus(
      String id,
      String team,
      boolean gang,
      boolean cancelled,
      Map<String, Integer> counts,
      List<RunStatus> runs,
      String waiting,
      String placedBy) {}

  record RunStatus(RunId run, String state, int attempt, String worker, String outcome) {}

  public SubmissionApi(
      Cell cell,
      ConfirmingAppender appender,
      HomeShardSelector homeSelector,
      HostListController hosts,
      WaitReasons waitReasons,
      RefusalWriter refusals) {
    this.cell = cell;
    this.appender = appender;
    this.homeSelector = homeSelector;
    this.hosts = hosts;
    this.waitReasons = waitReasons;
    this.refusals = refusals;
  }

  /** {@code POST /v1/submissions}. */
  public void submit(RoutingContext ctx) {
    Submission submission;
    try {
      submission = readSubmission(ctx, JsonBodies.read(ctx, SubmitBody.class));
    } catch (JsonBodies.InvalidBodyException e) {
      refusals.write(ctx, e.refusal());
      return;
    }
    Optional<SubmissionView> before = cell.read(s -> s.submission(submission.id()));
    if (before.isPresent()) {
      respond(ctx, submission, before.get());
      return;
    }
    if (!hosts.loaded()) {
      refuseWithRetry(ctx, RefusalReason.NOT_READY, "host list has not been read yet");
      return;
    }
    homeSelector
        .select(submission)
        .ifPresentOrElse(
            h -> append(ctx, submission, h),
            () -> refuse(ctx, RefusalReason.INVALID_VALUE, infeasibleMessage(submission)));
  }

  /** {@code GET /v1/submissions/:id}. */
  public void status(RoutingContext ctx) {
    String id = ctx.pathParam("id");
    Optional<SubmissionView> found = cell.read(s -> s.submission(id));
    if (found.isEmpty() || !found.get().accepted() || found.get().submission() == null) {
      refuse(ctx, RefusalReason.UNKNOWN_SUBMISSION, unknownSubmissionMessage(id, found));
      return;
    }
    if (!isPermitted(ctx, found.get().submission().team())) {
      refuse(ctx, RefusalReason.NOT_YOUR_TEAM, id + " belongs to another team");
      return;
    }
    JsonBodies.write(ctx, OK, cell.read(s -> status(s, found.get())));
  }

  /** {@code POST /v1/submissions/:id/cancel}. */
  public void cancel(RoutingContext ctx) {
    String id = ctx.pathParam("id");
    Optional<SubmissionView> found = cell.read(s -> s.submission(id));
    if (found.isEmpty() || found.get().submission() == null) {
      refuse(ctx, RefusalReason.UNKNOWN_SUBMISSION, unknownSubmissionMessage(id, found));
      return;
    }
    if (!isPermitted(ctx, found.get().submission().team())) {
      refuse(ctx, RefusalReason.NOT_YOUR_TEAM, id + " belongs to another team");
      return;
    }
    if (cell.read(s -> isCancelled(s, id))) {
      respondToCancel(ctx, id, AppendOutcome.CONFIRMED);
      return;
    }
    appender
        .append(new LogRecord.WorkCancelled(id), s -> isCancelled(s, id))
        .onSuccess(o -> respondToCancel(ctx, id, o));
  }

  /** Returns true also if all runs have ended, because then there is nothing left to cancel. */
  private static boolean isCancelled(ClusterState state, String id) {
    return state.submission(id).map(SubmissionView::cancelled).orElse(true)
        || state.runs(id).stream().allMatch(r -> r.state() == RunState.ENDED);
  }

  private void respondToCancel(RoutingContext ctx, String id, AppendOutcome outcome) {
    switch (outcome) {
      case CONFIRMED -> JsonBodies.write(ctx, ACCEPTED, new Cancelled(id, true));
      case NOT_SENT -> refuseWithRetry(ctx, RefusalReason.LOG_UNAVAILABLE, logUnreachableMessage());
      case UNKNOWN -> refuseUnconfirmed(ctx, "cancellation of " + id);
    }
  }

  private Submission readSubmission(RoutingContext ctx, SubmitBody body)
      throws JsonBodies.InvalidBodyException {
    String id = body.id() == null ? "s-" + UUID.randomUUID() : body.id();
    try {
      return new Submission(id, resolveTeam(ctx, body), body.gang(), body.tasks(), body.task());
    } catch (IllegalArgumentException e) {
      throw new JsonBodies.InvalidBodyException(RefusalReason.INVALID_VALUE, e.getMessage());
    }
  }

  private String resolveTeam(RoutingContext ctx, SubmitBody body)
      throws JsonBodies.InvalidBodyException {
    return switch (RequestAttributes.identity(ctx)) {
      case Identity.TeamIdentity t when body.team() == null || body.team().equals(t.team()) ->
          t.team();
      case Identity.TeamIdentity t when isOpen(body.team()) -> body.team();
      case Identity.TeamIdentity t ->
          throw new JsonBodies.InvalidBodyException(
              RefusalReason.NOT_YOUR_TEAM,
              "key " + t.key() + " is of team " + t.team() + ", not of " + body.team());
      case Identity.Anonymous a when body.team() != null && isOpen(body.team()) -> body.team();
      case Identity.Anonymous a ->
          throw new JsonBodies.InvalidBodyException(
              RefusalReason.MISSING_KEY,
              "no key given; a submission without a key must name an open queue");
      case Identity.OperatorIdentity o ->
          throw new JsonBodies.InvalidBodyException(
              RefusalReason.NOT_YOUR_TEAM, "key " + o.key() + " is an operator's key");
    };
  }

  private boolean isOpen(String team) {
    return cell.configuration().team(team).map(ConfigItem.Team::open).orElse(false);
  }

  private boolean isPermitted(RoutingContext ctx, String team) {
    return switch (RequestAttributes.identity(ctx)) {
      case Identity.OperatorIdentity o -> true;
      case Identity.TeamIdentity t -> t.team().equals(team) || isOpen(team);
      case Identity.Anonymous a -> isOpen(team);
    };
  }

  private void append(RoutingContext ctx, Submission submission, ShardId home) {
    String id = submission.id();
    appender
        .append(new LogRecord.WorkSubmitted(submission, home), s -> s.submission(id).isPresent())
        .onSuccess(o -> respondToAppend(ctx, submission, o));
  }

  private void respondToAppend(RoutingContext ctx, Submission submission, AppendOutcome outcome) {
    switch (outcome) {
      case CONFIRMED -> respondFromState(ctx, submission);
      case NOT_SENT -> refuseWithRetry(ctx, RefusalReason.LOG_UNAVAILABLE, logUnreachableMessage());
      case UNKNOWN -> voidSubmission(ctx, submission);
    }
  }

  /**
   * Resolves a submission whose record was not read back. Appends a record that voids the id,
   * unless the submission precedes it in the log.
   */
  private void voidSubmission(RoutingContext ctx, Submission submission) {
    String id = submission.id();
    Future<AppendOutcome> settled =
        appender.append(new LogRecord.SubmissionVoided(id), s -> s.submission(id).isPresent());
    settled.onSuccess(
        o -> {
          if (o == AppendOutcome.CONFIRMED) {
            respondFromState(ctx, submission);
          } else {
            refuseUnconfirmed(ctx, "submission " + id);
          }
        });
  }

  private void respondFromState(RoutingContext ctx, Submission submission) {
    respond(ctx, submission, cell.read(s -> s.submission(submission.id())).orElseThrow());
  }

  private void respond(RoutingContext ctx, Submission submission, SubmissionView view) {
    if (!view.accepted()) {
      refuseWithRetry(
          ctx, RefusalReason.LOG_UNAVAILABLE, "submission was not accepted: " + view.reason());
      return;
    }
    if (!submission.equals(view.submission())) {
      refuse(
          ctx,
          RefusalReason.SUBMISSION_CONFLICT,
          "id " + submission.id() + " is already used by a different submission");
      return;
    }
    JsonBodies.write(ctx, ACCEPTED, new Submitted(submission.id(), true, view.home()));
  }

  private SubmissionStatus status(ClusterState state, SubmissionView view) {
    List<RunView> runs = state.runs(view.id());
    Map<String, Integer> counts =
        runs.stream()
            .collect(
                Collectors.toMap(
                    SubmissionApi::stateOrOutcome,
                    r -> 1,
                    Integer::sum,
                    TreeMap<String, Integer>::new));
    List<RunStatus> states = runs.stream().map(SubmissionApi::runStatus).toList();
    return new SubmissionStatus(
        view.id(),
        view.submission().team(),
        view.submission().gang(),
        view.cancelled(),
        counts,
        states,
        waitReasons.of(runs).orElse(null),
        state.claim(view.home()).map(Claim::owner).orElse(null));
  }

  private static RunStatus runStatus(RunView run) {
    return new RunStatus(
        run.run(),
        run.state() == RunState.STARTED ? "RUNNING" : run.state().name(),
        run.attempt(),
        run.worker(),
        run.outcome() == null ? null : run.outcome().name());
  }

  private static String stateOrOutcome(RunView run) {
    return switch (run.state()) {
      case PENDING -> "PENDING";
      case STARTED -> "RUNNING";
      case ENDED -> run.outcome().name();
    };
  }

  private static String unknownSubmissionMessage(String id, Optional<SubmissionView> found) {
    return found
        .map(v -> "submission " + id + " was not accepted: " + v.reason())
        .orElse("submission " + id + " is unknown");
  }

  private String infeasibleMessage(Submission submission) {
    Configuration c = cell.configuration();
    if (c.shards().isEmpty()) {
      return "no zone is configured";
    }
    return submission.gang()
        ? "gang does not fit on the workers of any shard, even when they are idle"
        : "no worker has the capacity for a task of "
            + submission.task().resources()
            + ", even when idle";
  }

  private static String logUnreachableMessage() {
    return "platform log is unreachable";
  }

  private void refuse(RoutingContext ctx, RefusalReason reason, String message) {
    refusals.write(ctx, Refusal.of(reason, message));
  }

  private void refuseWithRetry(RoutingContext ctx, RefusalReason reason, String message) {
    refusals.write(ctx, Refusal.of(reason, message).withRetryAfterMillis(RETRY_MILLIS));
  }

  private void refuseUnconfirmed(RoutingContext ctx, String what) {
    Refusal refusal =
        Refusal.of(
                RefusalReason.LOG_UNAVAILABLE,
                what + " was sent but not confirmed; query its status by id")
            .withRan(ExecutionStatus.UNKNOWN)
            .withRetryAfterMillis(RETRY_MILLIS);
    refusals.write(ctx, refusal);
  }
}
