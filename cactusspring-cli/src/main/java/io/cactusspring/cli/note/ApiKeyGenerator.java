package io.cactusspring.cli.note;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;

/**
 * Creates keys: the secret goes to a key file, its salted hash to a release note.
 *
 * @since 0.1
 */
public final class ApiKeyGenerator {
  private static final String OWNER_ONLY = "rw-------";

  private ApiKeyGenerator() {}

  /**
   * Generates a secret, writes the key file and returns the entry for a release note.
   *
   * @param team team of the key; null for an operator's key
   * @throws CliException if the file exists or cannot be written
   */
  public static Change.Add create(String name, String team, Path file) throws CliException {
    String secret = SecretHash.newSecret();
    SecretHash hash = SecretHash.of(secret);
    Change.Add change = new Change.Add(item(name, team, hash));
    write(file, name + "." + secret + System.lineSeparator());
    return change;
  }

  private static ConfigItem.Key item(String name, String team, SecretHash hash)
      throws CliException {
    try {
      return new ConfigItem.Key(name, team, team == null, hash.salt(), hash.hash());
    } catch (IllegalArgumentException e) {
      throw new CliException(ExitCode.BAD_INPUT, e.getMessage(), e);
    }
  }

  private static void write(Path file, String text) throws CliException {
    try {
      Files.createFile(
          file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)));
      Files.writeString(file, text, StandardOpenOption.WRITE);
    } catch (FileAlreadyExistsException e) {
      throw new CliException(
          ExitCode.BAD_INPUT, file + " exists; remove it first or choose another --out", e);
    } catch (IOException e) {
      throw new CliException(ExitCode.BAD_INPUT, file + " cannot be written: " + e, e);
    }
  }
}
