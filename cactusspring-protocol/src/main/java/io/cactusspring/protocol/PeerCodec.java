package io.cactusspring.protocol;

import io.cactusspring.protocol.gen.PeerMessage;
import org.apache.thrift.TException;

/**
 * Encodes and decodes {@link PeerMessage} in Thrift's compact protocol.
 *
 * <pre>{@code
 * byte[] frame = PeerCodec.encode(PeerMessage.hello(hello));
 * PeerMessage message = PeerCodec.decode(frame);
 * }</pre>
 *
 * @since 0.1
 */
public final class PeerCodec {
  /** Maximum frame size in bytes, excluding the four-byte length prefix. */
  public static final int MAX_FRAME_BYTES = 32 << 20;

  private PeerCodec() {}

  /**
   * Encodes a message, without the length prefix.
   *
   * @throws IllegalArgumentException if a required field is not set
   */
  public static byte[] encode(PeerMessage message) {
    try {
      return ThriftCodec.write(message);
    } catch (TException e) {
      throw new IllegalArgumentException("message cannot be encoded: " + message, e);
    }
  }

  /**
   * Decodes a message from a frame without its length prefix.
   *
   * @throws ProtocolException if the frame is not a valid message or holds no known message type
   */
  public static PeerMessage decode(byte[] frame) throws ProtocolException {
    PeerMessage message;
    try {
      message = ThriftCodec.read(frame, new PeerMessage());
    } catch (TException e) {
      throw new ProtocolException(
          "frame of " + frame.length + " bytes cannot be decoded as a PeerMessage", e);
    }
    if (!message.isSet()) {
      throw new ProtocolException("frame contains no known message type", null);
    }
    return message;
  }
}
