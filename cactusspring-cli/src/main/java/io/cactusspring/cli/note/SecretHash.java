package io.cactusspring.cli.note;

import io.cactusspring.core.security.Keys;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Salt and hash of a key's secret, as a release note contains them.
 *
 * @param salt hexadecimal
 * @param hash hexadecimal SHA-256 of the salt's bytes followed by the secret's
 */
record SecretHash(String salt, String hash) {
  private static final int SALT_BYTES = 16;
  private static final int SECRET_BYTES = 32;
  private static final SecureRandom RANDOM = new SecureRandom();

  static SecretHash of(String secret) {
    byte[] salt = new byte[SALT_BYTES];
    RANDOM.nextBytes(salt);
    String text = HexFormat.of().formatHex(salt);
    return new SecretHash(text, Keys.hash(text, secret));
  }

  /** Returns a new secret without dots, since a dot separates name and secret. */
  static String newSecret() {
    byte[] secret = new byte[SECRET_BYTES];
    RANDOM.nextBytes(secret);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(secret);
  }
}
