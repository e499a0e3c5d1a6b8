package io.cactusspring.daemon.peers;

import io.cactusspring.protocol.PeerCodec;
import io.cactusspring.protocol.ProtocolException;
import io.cactusspring.protocol.gen.PeerMessage;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Splits a socket's bytes into length-prefixed messages. */
final class FrameParser implements Handler<Buffer> {
  private static final int LENGTH_BYTES = 4;

  private final RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
  private final Consumer<PeerMessage> messages;
  private final Consumer<ProtocolException> errors;
  private boolean inBody;

  private FrameParser(Consumer<PeerMessage> messages, Consumer<ProtocolException> errors) {
    this.messages = messages;
    this.errors = errors;
    parser.handler(this);
  }

  /** Installs a parser on a socket that passes on its messages and errors. */
  static void attach(
      NetSocket socket, Consumer<PeerMessage> messages, Consumer<ProtocolException> errors) {
    socket.handler(new FrameParser(messages, errors).parser);
  }

  /** Returns the encoded message with its length as prefix. */
  static Buffer frame(PeerMessage message) {
    byte[] body = PeerCodec.encode(message);
    return Buffer.buffer(LENGTH_BYTES + body.length).appendInt(body.length).appendBytes(body);
  }

  @Override
  public void handle(Buffer part) {
    if (!inBody) {
      startBody(part.getInt(0));
      return;
    }
    inBody = false;
    parser.fixedSizeMode(LENGTH_BYTES);
    try {
      messages.accept(PeerCodec.decode(part.getBytes()));
    } catch (ProtocolException e) {
      errors.accept(e);
    }
  }

  private void startBody(int length) {
    if (length <= 0 || length > PeerCodec.MAX_FRAME_BYTES) {
      errors.accept(new ProtocolException("invalid frame length: " + length, null));
      return;
    }
    inBody = true;
    parser.fixedSizeMode(length);
  }
}
