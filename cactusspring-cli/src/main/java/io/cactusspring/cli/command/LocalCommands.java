package io.cactusspring.cli.command;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.note.ApiKeyGenerator;
import io.cactusspring.cli.output.Result;
import io.cactusspring.cli.wire.Json;
import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** Commands that need no entry host. */
final class LocalCommands {
  private LocalCommands() {}

  static Result keyNew(Command.KeyNew k) throws CliException {
    Change.Add change = ApiKeyGenerator.create(k.name(), k.team().orElse(null), k.file());
    Object output = k.bootstrap() ? bootstrap((ConfigItem.Key) change.item()) : change;
    return Result.ok(output, Json.pretty(output) + "\nsecret written to " + k.file());
  }

  /** Field {@code bootstrapKey} of the settings of an entry host. */
  record Bootstrap(String name, String salt, String hash) {}

  private static Bootstrap bootstrap(ConfigItem.Key key) {
    return new Bootstrap(key.name(), key.salt(), key.hash());
  }

  /** JSON result of the version command. */
  record ToolVersion(String version) {}

  static Result version() throws CliException {
    try (InputStream in = LocalCommands.class.getResourceAsStream("/version.properties")) {
      Properties properties = new Properties();
      properties.load(in);
      String version = properties.getProperty("version");
      return Result.ok(new ToolVersion(version), "cactusspring " + version);
    } catch (IOException e) {
      throw new CliException(ExitCode.INTERNAL_ERROR, "version.properties cannot be read: " + e, e);
    }
  }
}
