package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Names of the platform's messages, read from {@code names.properties}. */
final class Names {
  private static final Properties NAMES = load();

  static final String APPEND = name("append");
  static final String READ = name("read");
  static final String NEWEST = name("newest");
  static final String START = name("start");
  static final String STOP = name("stop");
  static final String HOLD = name("hold");
  static final String TOKEN = name("token");
  static final String CURSOR = name("cursor");
  static final String UNTIL = name("until");
  static final String INSTANCE = name("instance");
  static final String SERVERS = name("servers");
  static final String OPERATOR = name("operator");

  private Names() {}

  private static Properties load() {
    Properties names = new Properties();
    try (InputStream in = Names.class.getResourceAsStream("names.properties")) {
      names.load(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return names;
  }

  private static String name(String key) {
    String name = NAMES.getProperty(key);
    if (name == null) {
      throw new IllegalStateException("names.properties lacks " + key);
    }
    return name;
  }
}
