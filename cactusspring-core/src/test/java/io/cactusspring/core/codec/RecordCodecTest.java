package io.cactusspring.core.codec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.TaskId;
import net.jqwik.api.Example;

class RecordCodecTest {
  private final RecordCodec codec = new RecordCodec();

  @Example
  void unknownTypeIsAnError() {
    assertThrows(CodecException.class, () -> codec.decode("{\"type\":\"later\",\"x\":1}"));
  }

  @Example
  void unknownFieldIsIgnored() throws CodecException {
    LogRecord r = codec.decode("{\"type\":\"cancel\",\"submission\":\"b1\",\"x\":1}");
    assertThat(r).isEqualTo(new LogRecord.WorkCancelled("b1"));
  }

  @Example
  void missingFieldIsAnErrorThatNamesIt() {
    CodecException e =
        assertThrows(CodecException.class, () -> codec.decode("{\"type\":\"cancel\"}"));
    assertThat(e).hasMessageThat().contains("submission is missing");
  }

  @Example
  void textThatIsNotJsonIsAnError() {
    assertThrows(CodecException.class, () -> codec.decode("not json"));
    assertThrows(CodecException.class, () -> codec.decode("null"));
    assertThrows(CodecException.class, () -> codec.decode(""));
  }

  @Example
  void endWithoutOutcomeKeepsItsNotRunFlag() throws CodecException {
    LogRecord.End end = LogRecord.End.notRun(TaskId.parse("b1#0@1"));
    String text = codec.encodeValue(end);
    assertThat(codec.decodeValue(text, LogRecord.End.class)).isEqualTo(end);
  }
}
