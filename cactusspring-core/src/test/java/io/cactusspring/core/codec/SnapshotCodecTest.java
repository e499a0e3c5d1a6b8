package io.cactusspring.core.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class SnapshotCodecTest {
  @Test
  void decompressedTextIsTheTextThatWasCompressed() throws Exception {
    String text = "{\"teams\":[\"skaitītājs\",\"plāni\"]}".repeat(100);
    String compressed = SnapshotCodec.compress(text);
    assertThat(compressed.length()).isLessThan(text.length() / 10);
    assertThat(SnapshotCodec.decompress(compressed)).isEqualTo(text);
  }

  @Test
  void damagedTextIsAnError() {
    String compressed = SnapshotCodec.compress("a state");
    assertThrows(CodecException.class, () -> SnapshotCodec.decompress("no base64!"));
    assertThrows(
        CodecException.class,
        () -> SnapshotCodec.decompress(compressed.substring(0, compressed.length() - 12)));
  }
}
