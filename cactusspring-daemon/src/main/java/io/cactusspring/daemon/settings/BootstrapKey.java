package io.cactusspring.daemon.settings;

import io.cactusspring.core.model.Arguments;
import java.util.regex.Pattern;

/**
 * Operator key that is valid until a release note adds an operator key to the configuration.
 *
 * @param salt 16 to 128 hexadecimal digits in lower case, two for each byte
 * @param hash SHA-256 of the salt's bytes followed by the secret's, as 64 hexadecimal digits in
 *     lower case
 * @since 0.1
 */
public record BootstrapKey(String name, String salt, String hash) {
  private static final Pattern SALT = Pattern.compile("([0-9a-f]{2}){8,64}");
  private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

  /**
   * @throws IllegalArgumentException if the name, the salt or the hash is malformed
   */
  public BootstrapKey {
    Arguments.checkName("key name", name);
    if (salt == null || !SALT.matcher(salt).matches()) {
      throw new IllegalArgumentException(
          "salt is malformed; expected 16 to 128 hexadecimal digits");
    }
    if (hash == null || !HASH.matcher(hash).matches()) {
      throw new IllegalArgumentException("hash is malformed; expected 64 hexadecimal digits");
    }
  }

  @Override
  public String toString() {
    return "BootstrapKey[name=" + name + "]";
  }
}
