package io.cactusspring.standins.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class RecordStoreTest {
  private final RecordStore store = new RecordStore(3);

  @Test
  void batchIsAppendedWithConsecutiveOffsets() {
    assertThat(store.append(List.of("a", "b"))).isEqualTo(new AppendAnswer(1, 3));
    assertThat(store.append(List.of("c"))).isEqualTo(new AppendAnswer(3, 4));
    assertThat(store.read(2, 10).records())
        .containsExactly(new StoredRecord(2, "b"), new StoredRecord(3, "c"))
        .inOrder();
  }

  @Test
  void recordsBeyondTheRetentionExpire() {
    store.append(List.of("a", "b", "c", "d"));
    assertThat(store.isExpired(1)).isTrue();
    assertThat(store.isExpired(2)).isFalse();
    assertThat(store.offsetRange()).isEqualTo(new OffsetRange(2, 5));
  }

  @Test
  void loweringTheRetentionDropsRecordsImmediately() {
    store.append(List.of("a", "b", "c"));
    store.setRetained(0);
    assertThat(store.offsetRange()).isEqualTo(new OffsetRange(4, 4));
    assertThat(store.isExpired(3)).isTrue();
    assertThat(store.isExpired(4)).isFalse();
  }

  @Test
  void emptyLogStartsAtTheFirstOffset() {
    assertThat(store.offsetRange()).isEqualTo(new OffsetRange(1, 1));
    assertThat(store.isExpired(0)).isTrue();
    assertThat(store.isExpired(1)).isFalse();
  }
}
