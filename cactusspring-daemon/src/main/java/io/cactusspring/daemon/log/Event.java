package io.cactusspring.daemon.log;

import static java.lang.System.Logger.Level.DEBUG;
import static java.lang.System.Logger.Level.ERROR;
import static java.lang.System.Logger.Level.INFO;
import static java.lang.System.Logger.Level.WARNING;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Catalogue of the events that the daemon logs. The number of an event is never reused.
 *
 * @since 0.1
 */
public enum Event {
  STARTED(1001, INFO, "{host} of zone {zone} started as incarnation {incarnation}", "None."),
  READY(1002, INFO, "ready with the configuration of revision {revision}", "None."),
  NOT_READY(
      1003,
      WARNING,
      "not ready: {reason}",
      "Resolve the reason given; the load balancer sends no callers to this host until then."),
  DRAINING(
      1004,
      INFO,
      "draining: {requests} requests open, at most {millis} ms left",
      "None; wait for CS1005."),
  STOPPED(1005, INFO, "stopped with {requests} requests cut off", "None when 0 were cut off."),
  SETTINGS_REFUSED(
      1006,
      ERROR,
      "settings refused: {problem}",
      "Correct the line named in the message; verify with cactusspringd --check."),
  CANNOT_LISTEN(
      1007,
      ERROR,
      "cannot listen on {address}: {problem}",
      "Stop the other process on that port, or correct the address or the TLS files in the settings."),
  CERTIFICATE_RELOADED(1008, INFO, "certificate of the {port} port reloaded", "None."),
  CERTIFICATE_REFUSED(
      1009,
      WARNING,
      "certificate of the {port} port kept, the new one is refused: {problem}",
      "Replace the files again before the old certificate expires."),
  INTERNAL_ERROR(
      1010,
      ERROR,
      "unexpected error in {part}: {problem}",
      "Report it with the stack trace; the process continues to run."),

  LOG_UNREACHABLE(
      1101,
      WARNING,
      "platform log unreachable: {problem}",
      "See the failure \"platform log down\" in OPERATIONS.md."),
  LOG_REACHABLE(1102, INFO, "platform log reachable again after {millis} ms", "None."),
  APPEND_UNKNOWN(
      1103,
      WARNING,
      "append of {records} records got no answer; reading back",
      "None; repeated occurrences indicate a slow platform log."),
  RECORD_UNDECODABLE(
      1104,
      ERROR,
      "record at offset {offset} cannot be decoded and is skipped: {problem}",
      "Check that all entry hosts run the same version and that nothing else writes to this log."),

  PEER_CONNECTED(1201, INFO, "peer {peer} connected as incarnation {incarnation}", "None."),
  PEER_LOST(
      1202,
      WARNING,
      "peer {peer} not heard for {millis} ms",
      "Check the peer host and the network connection to it."),
  PEER_REFUSED(
      1203,
      WARNING,
      "connection from {address} refused: {problem}",
      "Compare cell, names and certificates in the settings of both hosts."),

  SHARD_CLAIMED(1301, INFO, "shard {shard} claimed with epoch {epoch}", "None."),
  SHARD_LOST(1302, WARNING, "shard {shard} lost to {host} with epoch {epoch}", "None."),
  SHARD_ADOPTED(
      1303,
      INFO,
      "shard {shard} adopted: {running} running tasks found, {pending} runs pending",
      "None."),
  AUTHORITY_LOST(
      1304,
      WARNING,
      "authority over shard {shard} is {millis} ms old: nothing is started",
      "Check the platform log and the peers of this zone; see OPERATIONS.md."),
  AUTHORITY_REGAINED(1305, INFO, "authority over shard {shard} is back", "None."),

  RUN_STARTED(1401, DEBUG, "run {run} attempt {attempt} started on {worker}", "None."),
  RUN_ENDED(1402, DEBUG, "run {run} ended as {outcome}", "None."),
  RUN_LOST(
      1403,
      WARNING,
      "attempt {attempt} of run {run} lost on {worker}: {reason}",
      "None for an idempotent run; any other run ends as UNKNOWN."),
  RUN_START_FAILED(
      1404,
      WARNING,
      "attempt {attempt} of run {run} not started on {worker}: {reason}",
      "None; CS1503 follows if starts on the worker keep failing."),

  WORKER_UNREACHABLE(
      1501,
      WARNING,
      "worker {worker} unreachable: {problem}",
      "Check the worker and the network connection to it."),
  WORKER_BACK(1502, INFO, "worker {worker} is back after {millis} ms", "None."),
  WORKER_QUARANTINED(
      1503,
      WARNING,
      "worker {worker} quarantined after {failures} failures",
      "Check the worker; it is used again automatically once a probe succeeds."),
  WORKER_RESTARTED(
      1504, WARNING, "worker {worker} restarted; {tasks} tasks were lost on it", "None."),
  CALL_FENCED(
      1505,
      WARNING,
      "worker {worker} refused epoch {epoch}; it has seen {highest}",
      "None; another entry host owns its shard now."),

  NOTE_ACCEPTED(1601, INFO, "note {note} of {operator} in force with revision {revision}", "None."),
  NOTE_REFUSED(
      1602,
      INFO,
      "note {note} of {operator} refused: {problem}",
      "The operator updates the note to the current revision and sends it again."),

  SNAPSHOT_WRITTEN(1701, INFO, "snapshot up to offset {offset} written", "None."),
  SNAPSHOT_RESTORED(1702, INFO, "snapshot up to offset {offset} restored from {source}", "None."),
  GAP_NOTICED(
      1703,
      WARNING,
      "records from {next} are gone, the earliest is {earliest}: starting over from a snapshot",
      "Increase the retention of the platform log if this recurs."),

  REQUEST_RETRIED(
      1801, DEBUG, "request {request} attempt {attempt} failed at {endpoint}: {reason}", "None."),
  REQUEST_OUTCOME_UNKNOWN(
      1802,
      WARNING,
      "request {request} may have run at {endpoint}: {reason}",
      "None; the response reported the outcome to the caller as unknown."),
  ENDPOINT_SILENT(
      1803,
      WARNING,
      "connection to endpoint {endpoint} silent for {millis} ms and closed",
      "Check the network between the hosts if many endpoints are affected."),
  ENDPOINT_LEAVING(1804, INFO, "endpoint {endpoint} is leaving", "None.");

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{([a-z]+)}");

  private final int number;
  private final System.Logger.Level level;
  private final String text;
  private final String advice;

  Event(int number, System.Logger.Level level, String text, String advice) {
    this.number = number;
    this.level = level;
    this.text = text;
    this.advice = advice;
  }

  /** Stable code, for example {@code CS1001}. */
  public String code() {
    return "CS" + number;
  }

  public System.Logger.Level level() {
    return level;
  }

  /** Text with named placeholders in braces. */
  public String text() {
    return text;
  }

  /** Action that an operator takes when the event occurs. */
  public String advice() {
    return advice;
  }

  /** Names of the placeholders in order. */
  public List<String> placeholders() {
    return PLACEHOLDER.matcher(text).results().map(r -> r.group(1)).toList();
  }

  /**
   * Returns the code, followed by the text with its placeholders replaced in order.
   *
   * @throws IllegalArgumentException if the number of values differs from that of the placeholders
   */
  String format(List<?> values) {
    if (values.size() != placeholders().size()) {
      throw new IllegalArgumentException(
          code() + " got " + values.size() + " values; expected " + placeholders());
    }
    StringBuilder line = new StringBuilder(code()).append(' ');
    Matcher m = PLACEHOLDER.matcher(text);
    for (Object value : values) {
      m.find();
      m.appendReplacement(line, Matcher.quoteReplacement(String.valueOf(value)));
    }
    return m.appendTail(line).toString();
  }
}
