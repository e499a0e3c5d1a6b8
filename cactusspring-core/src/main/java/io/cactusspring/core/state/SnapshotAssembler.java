package io.cactusspring.core.state;

import io.cactusspring.core.model.LogRecord.SnapshotPart;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Assembles snapshots from their parts. Parts may arrive in any order, repeatedly, or not at all.
 *
 * <pre>{@code
 * assembler.add(part);
 * Optional<SnapshotAssembler.Snapshot> newest = assembler.newest();
 * }</pre>
 *
 * @since 0.1
 */
public final class SnapshotAssembler {
  private static final int MAX_INCOMPLETE = 4;

  private final LinkedHashMap<String, String[]> incomplete = new LinkedHashMap<>();
  private Snapshot newest;

  /**
   * A complete snapshot.
   *
   * @param covers offset of the first record that it does not cover
   * @param text encoded state
   */
  public record Snapshot(long covers, String text) {}

  /**
   * Splits an encoded state into parts of at most {@code maxChars} characters, so that each part
   * fits into one append.
   */
  public static List<SnapshotPart> split(String id, long covers, String text, int maxChars) {
    int parts = Math.max(1, (text.length() + maxChars - 1) / maxChars);
    List<SnapshotPart> all = new ArrayList<>();
    for (int i = 0; i < parts; i++) {
      String data = text.substring(i * maxChars, Math.min(text.length(), (i + 1) * maxChars));
      all.add(new SnapshotPart(id, covers, i, parts, data));
    }
    return all;
  }

  /** Adds a part; parts no newer than the newest complete snapshot are ignored. */
  public void add(SnapshotPart part) {
    if (newest != null && part.covers() <= newest.covers()) {
      return;
    }
    String[] pieces = incomplete.computeIfAbsent(part.id(), k -> new String[part.parts()]);
    if (pieces.length != part.parts()) {
      return;
    }
    pieces[part.part()] = part.data();
    if (Arrays.stream(pieces).allMatch(Objects::nonNull)) {
      newest = new Snapshot(part.covers(), String.join("", pieces));
      incomplete.remove(part.id());
    } else if (incomplete.size() > MAX_INCOMPLETE) {
      incomplete.pollFirstEntry();
    }
  }

  /** Returns the complete snapshot that covers the most records. */
  public Optional<Snapshot> newest() {
    return Optional.ofNullable(newest);
  }
}
