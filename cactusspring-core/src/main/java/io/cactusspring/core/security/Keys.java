package io.cactusspring.core.security;

import io.cactusspring.core.model.Arguments;
import io.cactusspring.core.model.ConfigItem;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hashes and compares keys.
 *
 * <pre>{@code
 * String hash = Keys.hash("00ff", "secret");
 * boolean same = Keys.matches(key, "secret");
 * }</pre>
 *
 * @since 0.1
 */
public final class Keys {
  private static final int MAX_KEY_LENGTH = 512;

  /**
   * Compared in place of an unknown key, so that known and unknown names take the same time; no
   * secret matches it.
   */
  static final ConfigItem.Key DUMMY =
      new ConfigItem.Key("dummy", null, true, "00", "00".repeat(32));

  private Keys() {}

  /**
   * Hashes a secret.
   *
   * @param salt hexadecimal
   * @return hexadecimal SHA-256 of the salt's bytes followed by the secret's UTF-8 bytes
   * @throws IllegalArgumentException if the salt is not hexadecimal
   */
  public static String hash(String salt, String secret) {
    return HexFormat.of().formatHex(digest(salt, secret));
  }

  /**
   * Returns whether a secret matches the key's hash, in a time that does not depend on where the
   * hashes differ; false if the salt or the hash is not hexadecimal.
   */
  public static boolean matches(ConfigItem.Key key, String secret) {
    try {
      byte[] expected = HexFormat.of().parseHex(key.hash());
      return MessageDigest.isEqual(expected, digest(key.salt(), secret));
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /**
   * Splits {@code NAME.SECRET} at its last dot; names may contain dots, secrets may not.
   *
   * @throws AuthenticationException if the text has another form
   */
  public static PresentedKey parse(String text) throws AuthenticationException {
    int dot = text.length() > MAX_KEY_LENGTH ? -1 : text.lastIndexOf('.');
    if (dot <= 0 || dot == text.length() - 1) {
      throw malformedKey();
    }
    try {
      String name = Arguments.checkName("key", text.substring(0, dot));
      return new PresentedKey(name, text.substring(dot + 1));
    } catch (IllegalArgumentException e) {
      throw malformedKey();
    }
  }

  private static AuthenticationException malformedKey() {
    return new AuthenticationException(
        AuthenticationException.Reason.MALFORMED_KEY, "key is malformed; expected NAME.SECRET");
  }

  private static byte[] digest(String salt, String secret) {
    try {
      MessageDigest d = MessageDigest.getInstance("SHA-256");
      d.update(HexFormat.of().parseHex(salt));
      return d.digest(secret.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing from the Java runtime", e);
    }
  }
}
