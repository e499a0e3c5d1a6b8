package io.cactusspring.protocol;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/**
 * Splits the bytes of a socket into length-prefixed frames.
 *
 * @since 0.2
 */
public final class Frames {
  private static final int LENGTH_BYTES = 4;

  private final RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
  private final int maxFrameBytes;
  private final Consumer<byte[]> frames;
  private final Consumer<ProtocolException> errors;
  private boolean inBody;
  private boolean failed;

  private Frames(int maxFrameBytes, Consumer<byte[]> frames, Consumer<ProtocolException> errors) {
    this.maxFrameBytes = maxFrameBytes;
    this.frames = frames;
    this.errors = errors;
    parser.handler(this::handle);
  }

  /**
   * Reads frames from a socket.
   *
   * @param frames receives the content of each frame
   * @param errors receives the error if a length is out of range; no frame follows
   */
  public static void read(
      NetSocket socket,
      int maxFrameBytes,
      Consumer<byte[]> frames,
      Consumer<ProtocolException> errors) {
    Handler<Buffer> handler = new Frames(maxFrameBytes, frames, errors).parser;
    socket.handler(handler);
  }

  /** Returns a frame with the given content. */
  public static Buffer encode(byte[] content) {
    return Buffer.buffer(LENGTH_BYTES + content.length)
        .appendInt(content.length)
        .appendBytes(content);
  }

  private void handle(Buffer part) {
    if (failed) {
      return;
    }
    if (inBody) {
      inBody = false;
      parser.fixedSizeMode(LENGTH_BYTES);
      frames.accept(part.getBytes());
      return;
    }
    int length = part.getInt(0);
    if (length <= 0 || length > maxFrameBytes) {
      failed = true;
      errors.accept(
          new ProtocolException(
              "frame length is " + length + "; expected 1 to " + maxFrameBytes, null));
      return;
    }
    inBody = true;
    parser.fixedSizeMode(length);
  }
}
