package io.cactusspring.protocol;

import java.util.Arrays;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;

/**
 * Encodes and decodes values in Thrift's compact protocol.
 *
 * <p>The transports are created directly, because their factories would load a logging library.
 *
 * @since 0.2
 */
public final class ThriftCodec {
  private static final int INITIAL_BUFFER_BYTES = 512;

  private ThriftCodec() {}

  /**
   * Encodes a value.
   *
   * @throws TException if a required field is not set
   */
  public static byte[] write(TBase<?, ?> value) throws TException {
    TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
    value.write(new TCompactProtocol(buffer));
    return Arrays.copyOf(buffer.getArray(), buffer.length());
  }

  /**
   * Decodes into an empty value and returns it.
   *
   * @throws TException if the bytes are not an encoded value of that type
   */
  public static <R extends TBase<R, ?>> R read(byte[] bytes, R empty) throws TException {
    empty.read(new TCompactProtocol(new TMemoryInputTransport(bytes)));
    return empty;
  }
}
