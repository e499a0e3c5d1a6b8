package io.cactusspring.core.model;

import java.util.regex.Pattern;

/** Argument checks whose messages name the bad value and what was expected. */
public final class Arguments {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

  private Arguments() {}

  /**
   * Checks a name of a team, service, zone, host or key.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has other characters
   */
  public static String checkName(String field, String value) {
    if (value == null || !NAME.matcher(value).matches()) {
      throw new IllegalArgumentException(
          field + " is \"" + value + "\"; expected 1 to 63 letters, digits, '.', '_' or '-'");
    }
    return value;
  }

  /**
   * Checks that a number lies in a closed range.
   *
   * @throws IllegalArgumentException if it lies outside
   */
  public static long checkRange(String field, long value, long min, long max) {
    if (value < min || value > max) {
      throw new IllegalArgumentException(
          field + " is " + value + "; expected " + min + " to " + max);
    }
    return value;
  }

  /**
   * Checks that a value is present.
   *
   * @throws IllegalArgumentException if it is null
   */
  public static <T> T checkPresent(String field, T value) {
    if (value == null) {
      throw new IllegalArgumentException(field + " is missing");
    }
    return value;
  }
}
