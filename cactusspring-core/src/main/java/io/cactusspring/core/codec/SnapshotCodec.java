package io.cactusspring.core.codec;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Compresses the text of a snapshot for the log and for peers.
 *
 * <pre>{@code
 * String compressed = SnapshotCodec.compress(state.snapshot());
 * ClusterState restored = ClusterState.restore(SnapshotCodec.decompress(compressed));
 * }</pre>
 *
 * @since 0.1
 */
public final class SnapshotCodec {
  private SnapshotCodec() {}

  /** Returns the text gzipped, in Base64. */
  public static String compress(String text) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
      gzip.write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot compress the snapshot in memory", e);
    }
    return Base64.getEncoder().encodeToString(bytes.toByteArray());
  }

  /**
   * Returns the text that was compressed.
   *
   * @throws CodecException if the argument is not gzipped text in Base64
   */
  public static String decompress(String compressed) throws CodecException {
    try {
      byte[] bytes = Base64.getDecoder().decode(compressed);
      try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
        return new String(gzip.readAllBytes(), StandardCharsets.UTF_8);
      }
    } catch (IllegalArgumentException | IOException e) {
      throw new CodecException("snapshot is not gzip data in Base64", e);
    }
  }
}
