package io.cactusspring.cli.wire;

import java.util.List;

/**
 * Why an entry host did not do what was asked.
 *
 * @param ran {@code NO}, {@code UNKNOWN} or {@code YES}
 * @param retryAfterMillis when to come back, 0 when it says nothing
 * @param conflicts items of a note that others changed first; null when absent
 * @param problems what is wrong with a note; null when absent
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

  /** A refusal for an error answer that carries none, as of a balancer in between. */
  public static Refusal ofStatus(int status, String text) {
    String shown = text.substring(0, Math.min(text.length(), MAX_TEXT_CHARS)).strip();
    return new Refusal("status-" + status, shown, "UNKNOWN", 0, null, null, null);
  }
}
