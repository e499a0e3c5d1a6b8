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
import io.cactusspring.daemon.http.Requests;
import io.vertx.core.Future;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.stream.Collectors;

/**
 * Calls about batches of runs and gangs.
 *
 * @since 0.1
 */
public final class WorkApi {
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final long RETRY_MILLIS = 1_000;

  private final Cell cell;
  private final ReadBack readBack;
  private final HomeShardSelector homes;
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

  public WorkApi(
      Cell cell,
      ReadBack readBack,
      HomeShardSelector homes,
      HostListController hosts,
      WaitReasons waitReasons,
      RefusalWriter refusals) {
    this.cell = cell;
    this.readBack = readBack;
    this.homes = homes;
    this.hosts = hosts;
    this.waitReasons = waitReasons;
    this.refusals = refusals;
  }

  /** {@code POST /v1/submissions}. */
  public void submit(RoutingContext ctx) {
    Submission submission;
    try {
      submission = submission(ctx, Bodies.read(ctx, SubmitBody.class));
    } catch (Bodies.BodyException e) {
      refusals.write(ctx, e.refusal());
      return;
    }
    Optional<SubmissionView> before = cell.read(s -> s.submission(submission.id()));
    if (before.isPresent()) {
      answer(ctx, submission, before.get());
      return;
    }
    if (!hosts.loaded()) {
      refuseForNow(ctx, RefusalReason.NOT_READY, "the platform's host list is not known yet");
      return;
    }
    homes
        .select(submission)
        .ifPresentOrElse(
            h -> append(ctx, submission, h),
            () -> refuse(ctx, RefusalReason.INVALID_VALUE, neverFits(submission)));
  }

  /** {@code GET /v1/submissions/:id}. */
  public void status(RoutingContext ctx) {
    String id = ctx.pathParam("id");
    Optional<SubmissionView> found = cell.read(s -> s.submission(id));
    if (found.isEmpty() || !found.get().accepted() || found.get().submission() == null) {
      refuse(ctx, RefusalReason.UNKNOWN_SUBMISSION, unknown(id, found));
      return;
    }
    if (!mayAct(ctx, found.get().submission().team())) {
      refuse(ctx, RefusalReason.NOT_YOUR_TEAM, id + " is of another team");
      return;
    }
    Bodies.write(ctx, OK, cell.read(s -> status(s, found.get())));
  }

  /** {@code POST /v1/submissions/:id/cancel}. */
  public void cancel(RoutingContext ctx) {
    String id = ctx.pathParam("id");
    Optional<SubmissionView> found = cell.read(s -> s.submission(id));
    if (found.isEmpty() || found.get().submission() == null) {
      refuse(ctx, RefusalReason.UNKNOWN_SUBMISSION, unknown(id, found));
      return;
    }
    if (!mayAct(ctx, found.get().submission().team())) {
      refuse(ctx, RefusalReason.NOT_YOUR_TEAM, id + " is of another team");
      return;
    }
    if (cell.read(s -> isCancelled(s, id))) {
      cancelSent(ctx, id, LogOutcome.READ);
      return;
    }
    readBack
        .append(new LogRecord.WorkCancelled(id), s -> isCancelled(s, id))
        .onSuccess(o -> cancelSent(ctx, id, o));
  }

  /** Nothing is left to cancel once all runs have ended. */
  private static boolean isCancelled(ClusterState state, String id) {
    return state.submission(id).map(SubmissionView::cancelled).orElse(true)
        || state.runs(id).stream().allMatch(r -> r.state() == RunState.ENDED);
  }

  private void cancelSent(RoutingContext ctx, String id, LogOutcome outcome) {
    switch (outcome) {
      case READ -> Bodies.write(ctx, ACCEPTED, new Cancelled(id, true));
      case NOT_SENT -> refuseForNow(ctx, RefusalReason.LOG_UNAVAILABLE, logAway());
      case UNKNOWN -> refuseUnknown(ctx, "cancellation of " + id);
    }
  }

  private Submission submission(RoutingContext ctx, SubmitBody body) throws Bodies.BodyException {
    String id = body.id() == null ? "s-" + UUID.randomUUID() : body.id();
    try {
      return new Submission(id, team(ctx, body), body.gang(), body.tasks(), body.task());
    } catch (IllegalArgumentException e) {
      throw new Bodies.BodyException(RefusalReason.INVALID_VALUE, e.getMessage());
    }
  }

  private String team(RoutingContext ctx, SubmitBody body) throws Bodies.BodyException {
    return switch (Requests.identity(ctx)) {
      case Identity.TeamIdentity t when body.team() == null || body.team().equals(t.team()) ->
          t.team();
      case Identity.TeamIdentity t when isOpen(body.team()) -> body.team();
      case Identity.TeamIdentity t ->
          throw new Bodies.BodyException(
              RefusalReason.NOT_YOUR_TEAM,
              "key " + t.key() + " is of team " + t.team() + ", not of " + body.team());
      case Identity.Anonymous a when body.team() != null && isOpen(body.team()) -> body.team();
      case Identity.Anonymous a ->
          throw new Bodies.BodyException(
              RefusalReason.MISSING_KEY, "only work for an open queue needs no key");
      case Identity.OperatorIdentity o ->
          throw new Bodies.BodyException(
              RefusalReason.NOT_YOUR_TEAM, "key " + o.key() + " is an operator's key");
    };
  }

  private boolean isOpen(String team) {
    return cell.configuration().team(team).map(ConfigItem.Team::open).orElse(false);
  }

  private boolean mayAct(RoutingContext ctx, String team) {
    return switch (Requests.identity(ctx)) {
      case Identity.OperatorIdentity o -> true;
      case Identity.TeamIdentity t -> t.team().equals(team) || isOpen(team);
      case Identity.Anonymous a -> isOpen(team);
    };
  }

  private void append(RoutingContext ctx, Submission submission, ShardId home) {
    String id = submission.id();
    readBack
        .append(new LogRecord.WorkSubmitted(submission, home), s -> s.submission(id).isPresent())
        .onSuccess(o -> sent(ctx, submission, o));
  }

  private void sent(RoutingContext ctx, Submission submission, LogOutcome outcome) {
    switch (outcome) {
      case READ -> answerRead(ctx, submission);
      case NOT_SENT -> refuseForNow(ctx, RefusalReason.LOG_UNAVAILABLE, logAway());
      case UNKNOWN -> voidSubmission(ctx, submission);
    }
  }

  /**
   * Settles a submission whose record was not read back, by a record that voids the id unless the
   * submission stands before it.
   */
  private void voidSubmission(RoutingContext ctx, Submission submission) {
    String id = submission.id();
    Future<LogOutcome> settled =
        readBack.append(new LogRecord.SubmissionVoided(id), s -> s.submission(id).isPresent());
    settled.onSuccess(
        o -> {
          if (o == LogOutcome.READ) {
            answerRead(ctx, submission);
          } else {
            refuseUnknown(ctx, "submission " + id);
          }
        });
  }

  private void answerRead(RoutingContext ctx, Submission submission) {
    answer(ctx, submission, cell.read(s -> s.submission(submission.id())).orElseThrow());
  }

  private void answer(RoutingContext ctx, Submission submission, SubmissionView view) {
    if (!view.accepted()) {
      refuseForNow(ctx, RefusalReason.LOG_UNAVAILABLE, "not accepted: " + view.reason());
      return;
    }
    if (!submission.equals(view.submission())) {
      refuse(
          ctx,
          RefusalReason.SUBMISSION_CONFLICT,
          "id " + submission.id() + " was used for other work");
      return;
    }
    Bodies.write(ctx, ACCEPTED, new Submitted(submission.id(), true, view.home()));
  }

  private SubmissionStatus status(ClusterState state, SubmissionView view) {
    List<RunView> runs = state.runs(view.id());
    Map<String, Integer> counts =
        runs.stream()
            .collect(
                Collectors.toMap(
                    WorkApi::stateOf, r -> 1, Integer::sum, TreeMap<String, Integer>::new));
    List<RunStatus> states = runs.stream().map(WorkApi::runStatus).toList();
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

  private static String stateOf(RunView run) {
    return switch (run.state()) {
      case PENDING -> "PENDING";
      case STARTED -> "RUNNING";
      case ENDED -> run.outcome().name();
    };
  }

  private static String unknown(String id, Optional<SubmissionView> found) {
    return found
        .map(v -> "submission " + id + " was not accepted: " + v.reason())
        .orElse("no submission " + id + " is known");
  }

  private String neverFits(Submission submission) {
    Configuration c = cell.configuration();
    if (c.shards().isEmpty()) {
      return "no zone is configured";
    }
    return submission.gang()
        ? "no shard's workers can hold the whole gang, even when empty"
        : "no worker can hold a task of " + submission.task().resources() + ", even when empty";
  }

  private static String logAway() {
    return "the platform's log cannot be reached";
  }

  private void refuse(RoutingContext ctx, RefusalReason reason, String message) {
    refusals.write(ctx, Refusal.of(reason, message));
  }

  private void refuseForNow(RoutingContext ctx, RefusalReason reason, String message) {
    refusals.write(ctx, Refusal.of(reason, message).withRetryAfterMillis(RETRY_MILLIS));
  }

  private void refuseUnknown(RoutingContext ctx, String what) {
    Refusal refusal =
        Refusal.of(
                RefusalReason.LOG_UNAVAILABLE,
                what + " was sent and not read back; ask again by its id")
            .withRan(ExecutionStatus.UNKNOWN)
            .withRetryAfterMillis(RETRY_MILLIS);
    refusals.write(ctx, refusal);
  }
}
