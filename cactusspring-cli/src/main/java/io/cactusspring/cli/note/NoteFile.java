package io.cactusspring.cli.note;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.wire.Json;
import io.cactusspring.core.model.ReleaseNote;
import java.nio.file.Path;
import java.util.Optional;
import java.util.UUID;

/**
 * Reads release notes from files: JSON with comments, with the fields of {@link ReleaseNote}.
 *
 * <p>A key may have {@code "secret"} or {@code "secretFile"} in place of {@code "salt"} and {@code
 * "hash"}; the returned note contains only the latter two. {@code "id"} and {@code "operator"} may
 * be absent.
 *
 * @since 0.1
 */
public final class NoteFile {
  private NoteFile() {}

  /**
   * Reads a note.
   *
   * @param id id that overrides the one in the file
   * @param operator name of the operator's key
   * @throws CliException if the file cannot be read or is not a release note
   */
  public static ReleaseNote read(Path file, Optional<String> id, String operator)
      throws CliException {
    String text = ApiKey.readText(file);
    try {
      JsonNode tree = Json.file().readTree(text);
      if (!(tree instanceof ObjectNode note)) {
        throw new CliException(ExitCode.BAD_INPUT, file + ": expected one JSON object");
      }
      id.ifPresent(i -> note.put("id", i));
      if (!note.has("id")) {
        note.put("id", "note-" + UUID.randomUUID());
      }
      note.put("operator", operator);
      for (JsonNode change : note.path("changes")) {
        checkBasedOn(file, change);
        hashSecret(file, change.path("item"));
      }
      return Json.file().treeToValue(note, ReleaseNote.class);
    } catch (JsonProcessingException e) {
      throw new CliException(ExitCode.BAD_INPUT, file + ": " + problem(e), e);
    }
  }

  private static void checkBasedOn(Path file, JsonNode change) throws CliException {
    boolean needed = !change.path("change").asText().equals("add");
    if (needed && !change.path("basedOn").isIntegralNumber()) {
      throw new CliException(
          ExitCode.BAD_INPUT,
          "%s: %s of %s has no \"basedOn\"; expected the revision that the entry is based on, as the"
                  .formatted(file, change.path("change").asText("entry"), pathOf(change))
              + " command config prints it");
    }
  }

  private static String pathOf(JsonNode change) {
    JsonNode item = change.path("item");
    return item.isTextual()
        ? item.textValue()
        : item.path("kind").asText() + "/" + item.path("name").asText();
  }

  private static void hashSecret(Path file, JsonNode item) throws CliException {
    if (!(item instanceof ObjectNode key) || !key.path("kind").asText().equals("key")) {
      return;
    }
    Optional<String> secret = secretOf(file, key);
    if (secret.isPresent()) {
      SecretHash hash = SecretHash.of(secret.get());
      key.remove("secret");
      key.remove("secretFile");
      key.put("salt", hash.salt());
      key.put("hash", hash.hash());
    }
  }

  private static Optional<String> secretOf(Path file, ObjectNode key) throws CliException {
    if (key.has("secretFile")) {
      Path secretFile = file.toAbsolutePath().resolveSibling(key.get("secretFile").asText());
      return Optional.of(withoutName(ApiKey.readText(secretFile), key));
    }
    return Optional.ofNullable(key.get("secret")).map(s -> withoutName(s.asText(), key));
  }

  /** Returns the secret; accepts {@code NAME.SECRET}, as in a key file, and the bare secret. */
  private static String withoutName(String text, ObjectNode key) {
    String secret = text.strip();
    String prefix = key.path("name").asText() + ".";
    return secret.startsWith(prefix) ? secret.substring(prefix.length()) : secret;
  }

  private static String problem(JsonProcessingException e) {
    String line = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
    return line + e.getOriginalMessage();
  }
}
