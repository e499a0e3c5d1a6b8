package io.cactusspring.cli.note;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Salt and hash of a key's secret, as they stand in a release note.
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
    return new SecretHash(HexFormat.of().formatHex(salt), hash(salt, secret));
  }

  /** Returns a new secret without dots. */
  static String newSecret() {
    byte[] secret = new byte[SECRET_BYTES];
    RANDOM.nextBytes(secret);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(secret);
  }

  private static String hash(byte[] salt, String secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(salt);
      return HexFormat.of().formatHex(digest.digest(secret.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing from the Java runtime", e);
    }
  }
}
