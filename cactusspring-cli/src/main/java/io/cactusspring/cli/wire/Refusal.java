package io.cactusspring.cli.wire;

import java.util.List;

/**
 * Error body in which an entry host states why a call failed.
 *
 * @param ran whether the call ran: {@code NO}, {@code UNKNOWN} or {@code YES}
 * @param retryAfterMillis time after which to retry; 0 when the host gives none
 * @param conflicts items of a note that other operators changed first; null becomes empty
 * @param problems errors in a note; null becomes empty
 * @since 0.1
 */
public record Refusal(
    String reason,
    String message,
    String ran,
    long retryAfterMillis,
    String requestId,
    List<Conflict> conflicts,
    List<String> problems) {
  private static final int MAX_TEXT_CHARS = 200;

  public Refusal {
    conflicts = conflicts == null ? List.of() : List.copyOf(conflicts);
    problems = problems == null ? List.of() : List.copyOf(problems);
  }

  /** An item that another operator changed first. */
  public record Conflict(String item, long basedOn, long revision, String operator, String note) {}

  /** Returns a refusal for an error response without one, such as that of a load balancer. */
  public static Refusal ofStatus(int status, String text) {
    String shown = text.substring(0, Math.min(text.length(), MAX_TEXT_CHARS)).strip();
    return new Refusal("status-" + status, shown, "UNKNOWN", 0, null, null, null);
  }
}
