package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Names of the platform's messages, from the file names.properties. */
final class Names {
  private static final Properties NAMES = new Properties();

  static {
    try (InputStream file = Names.class.getResourceAsStream("names.properties")) {
      NAMES.load(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Names() {}

  /** Returns the platform's name of something. */
  static String of(String key) {
    return NAMES.getProperty(key);
  }

  /** Returns the key of a path; empty if it is none of the platform's. */
  static String callOf(String path) {
    return NAMES.stringPropertyNames().stream()
        .filter(key -> NAMES.getProperty(key).equals(path))
        .findFirst()
        .orElse("");
  }
}
