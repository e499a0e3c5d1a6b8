package io.cactusspring.daemon.work;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.config.ItemConflict;
import io.cactusspring.core.config.Resolution;
import io.cactusspring.core.config.RevisionedItem;
import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.request.ExecutionStatus;
import io.cactusspring.core.security.Identity;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.NoteStatus;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.http.Refusal;
import io.cactusspring.daemon.http.RefusalReason;
import io.cactusspring.daemon.http.RefusalWriter;
import io.cactusspring.daemon.http.RequestAttributes;
import io.cactusspring.daemon.log.Event;
import io.cactusspring.daemon.log.EventLog;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.Optional;

/**
 * HTTP calls with which operators read and change the configuration.
 *
 * @since 0.1
 */
public final class NoteApi {
  private static final EventLog LOG = EventLog.of(NoteApi.class);
  private static final int OK = 200;
  private static final long RETRY_MILLIS = 1_000;

  private final Cell cell;
  private final ConfirmingAppender appender;
  private final RefusalWriter refusals;

  /** Response to a note that is in force. */
  record Accepted(String id, boolean accepted, long revision) {}

  /** Response to a refused note: the fields of a refusal, with the conflicts or problems found. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Refused(
      RefusalReason reason,
      String message,
      String ran,
      String requestId,
      List<ItemConflict> conflicts,
      List<String> problems) {}

  /** Response to a check of a note. */
  record Checked(String id, boolean accepted, long revision, List<Difference> differences) {}

  /** Effect of a note on one configuration item. */
  record Difference(String path, String change, ConfigItem before, ConfigItem after) {}

  record ConfigurationView(long revision, List<ItemView> items) {}

  record ItemView(String path, long revision, String note, String operator, ConfigItem item) {}

  public NoteApi(Cell cell, ConfirmingAppender appender, RefusalWriter refusals) {
    this.cell = cell;
    this.appender = appender;
    this.refusals = refusals;
  }

  /** {@code POST /v1/notes}. */
  public void apply(RoutingContext ctx) {
    readNote(ctx).ifPresent(n -> apply(ctx, n));
  }

  /** {@code POST /v1/notes/check}. */
  public void check(RoutingContext ctx) {
    readNote(ctx).ifPresent(n -> check(ctx, n));
  }

  /** {@code GET /v1/configuration}. */
  public void configuration(RoutingContext ctx) {
    Configuration c = cell.configuration();
    JsonBodies.write(
        ctx,
        OK,
        new ConfigurationView(
            c.revision(), c.items().values().stream().map(NoteApi::view).toList()));
  }

  private Optional<ReleaseNote> readNote(RoutingContext ctx) {
    try {
      ReleaseNote note = JsonBodies.read(ctx, ReleaseNote.class);
      return Optional.of(new ReleaseNote(note.id(), operator(ctx), note.changes()));
    } catch (JsonBodies.InvalidBodyException e) {
      refusals.write(ctx, e.refusal());
      return Optional.empty();
    }
  }

  private static String operator(RoutingContext ctx) {
    return RequestAttributes.identity(ctx) instanceof Identity.OperatorIdentity o
        ? o.key()
        : "unknown";
  }

  private void apply(RoutingContext ctx, ReleaseNote note) {
    Optional<NoteStatus> before = cell.read(s -> s.note(note.id()));
    if (before.isPresent()) {
      respond(ctx, note, before.get());
      return;
    }
    Resolution expected = cell.read(s -> s.resolve(note));
    if (!(expected instanceof Resolution.Accepted)) {
      refuse(ctx, note, expected);
      return;
    }
    appender
        .append(new LogRecord.NoteApplied(note), s -> s.note(note.id()).isPresent())
        .onSuccess(o -> respondToAppend(ctx, note, o));
  }

  private void respondToAppend(RoutingContext ctx, ReleaseNote note, AppendOutcome outcome) {
    switch (outcome) {
      case CONFIRMED -> respond(ctx, note, cell.read((ClusterState s) -> s.note(note.id())).get());
      case NOT_SENT ->
          refusals.write(
              ctx,
              Refusal.of(RefusalReason.LOG_UNAVAILABLE, "platform log is unreachable")
                  .withRetryAfterMillis(RETRY_MILLIS));
      case UNKNOWN ->
          refusals.write(
              ctx,
              Refusal.of(
                      RefusalReason.LOG_UNAVAILABLE,
                      "note "
                          + note.id()
                          + " was sent but not confirmed; it may still take effect."
                          + " Send it again with the same id")
                  .withRan(ExecutionStatus.UNKNOWN)
                  .withRetryAfterMillis(RETRY_MILLIS));
    }
  }

  private void respond(RoutingContext ctx, ReleaseNote note, NoteStatus status) {
    switch (status) {
      case NoteStatus.Accepted a -> {
        LOG.event(Event.NOTE_ACCEPTED, note.id(), note.operator(), a.revision());
        JsonBodies.write(ctx, OK, new Accepted(note.id(), true, a.revision()));
      }
      case NoteStatus.Refused r -> refuse(ctx, note, r.reason());
    }
  }

  private void refuse(RoutingContext ctx, ReleaseNote note, Resolution resolution) {
    Refused body =
        switch (resolution) {
          case Resolution.Conflict c ->
              refused(ctx, RefusalReason.NOTE_CONFLICT, c.conflicts(), null);
          case Resolution.Invalid i -> refused(ctx, RefusalReason.NOTE_INVALID, null, i.problems());
          case Resolution.Accepted a -> throw new IllegalArgumentException("note is accepted");
        };
    LOG.event(Event.NOTE_REFUSED, note.id(), note.operator(), body.message());
    refusals.count(body.reason());
    JsonBodies.write(ctx, body.reason().status(), body);
  }

  private static Refused refused(
      RoutingContext ctx,
      RefusalReason reason,
      List<ItemConflict> conflicts,
      List<String> problems) {
    String message =
        problems == null
            ? "items have changed since the revision on which the note is based"
            : String.join("; ", problems);
    return new Refused(reason, message, "NO", RequestAttributes.id(ctx), conflicts, problems);
  }

  private void check(RoutingContext ctx, ReleaseNote note) {
    Configuration before = cell.configuration();
    switch (cell.read(s -> s.resolve(note))) {
      case Resolution.Accepted a ->
          JsonBodies.write(
              ctx,
              OK,
              new Checked(
                  note.id(),
                  true,
                  before.revision(),
                  differences(before, a.configuration(), note)));
      case Resolution r -> refuse(ctx, note, r);
    }
  }

  private static List<Difference> differences(
      Configuration before, Configuration after, ReleaseNote note) {
    return note.changes().stream()
        .map(c -> new Difference(c.path(), kind(c), item(before, c.path()), item(after, c.path())))
        .toList();
  }

  private static String kind(Change change) {
    return switch (change) {
      case Change.Add a -> "add";
      case Change.Replace r -> "change";
      case Change.Withdraw w -> "withdraw";
    };
  }

  private static ConfigItem item(Configuration configuration, String path) {
    RevisionedItem r = configuration.items().get(path);
    return r == null ? null : withoutSecret(r.item());
  }

  private static ItemView view(RevisionedItem r) {
    return new ItemView(
        r.item().path(), r.revision(), r.note(), r.operator(), withoutSecret(r.item()));
  }

  /** Returns the item without the salt and hash if it is a key. */
  private static ConfigItem withoutSecret(ConfigItem item) {
    return item instanceof ConfigItem.Key k
        ? new ConfigItem.Key(k.name(), k.team(), k.operator(), "", "")
        : item;
  }
}
