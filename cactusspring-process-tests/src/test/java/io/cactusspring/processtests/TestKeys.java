package io.cactusspring.processtests;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.cactusspring.core.model.ConfigItem;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** API keys of the test cells; the secret of each is derived from its name. */
final class TestKeys {
  static final String SALT = "00112233445566778899aabbccddeeff";

  private TestKeys() {}

  static ConfigItem.Key ofTeam(String name, String team) {
    return new ConfigItem.Key(name, team, false, SALT, hash(name));
  }

  static ConfigItem.Key ofOperator(String name) {
    return new ConfigItem.Key(name, null, true, SALT, hash(name));
  }

  /** Returns the value of the {@code authorization} header for a key. */
  static String bearer(String name) {
    return "Bearer " + name + "." + secret(name);
  }

  static String hash(String name) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(HexFormat.of().parseHex(SALT));
      return HexFormat.of().formatHex(digest.digest(secret(name).getBytes(UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError("every Java platform has SHA-256", e);
    }
  }

  private static String secret(String name) {
    return "secret-of-" + name;
  }
}
