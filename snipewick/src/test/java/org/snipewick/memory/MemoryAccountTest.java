package org.snipewick.memory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class MemoryAccountTest {
  private static final Runnable NONE = () -> {};

  private final List<Runnable> evictions = new ArrayList<>();
  private final List<String> evicted = new ArrayList<>();
  private final MemoryAccount account = MemoryAccount.of(100, evictions::add);

  @Test
  void shouldEvictHolderWithMostBytesWhenAnotherOneAsksBeyondLimit() {
    MemoryAccount.Holder large = account.open(() -> evicted.add("large"));
    MemoryAccount.Holder small = account.open(() -> evicted.add("small"));
    assertThat(small.tryAdd(20)).isTrue();
    assertThat(large.tryAdd(70)).isTrue();
    assertThat(account.open(NONE).tryAdd(20)).isTrue();
    evictions.forEach(Runnable::run);
    assertThat(evicted).containsExactly("large");
    assertThat(account.heldBytes()).isEqualTo(40);
    assertThat(large.isEvicted()).isTrue();
    assertThat(large.tryAdd(1)).isFalse();
    assertThat(small.tryAdd(1)).isTrue();
    large.clear();
    assertThat(large.isEvicted()).isFalse();
    assertThat(large.tryAdd(1)).isTrue();
  }

  @Test
  void shouldRefuseAskingHolderWhenItWouldHaveMostBytes() {
    assertThat(account.open(NONE).tryAdd(60)).isTrue();
    assertThat(account.open(NONE).tryAdd(61)).isFalse();
    assertThat(account.open(NONE).tryAdd(101)).isFalse();
    assertThat(account.heldBytes()).isEqualTo(60);
    assertThat(evictions).isEmpty();
  }

  @Test
  void shouldReturnBytesOnceWhenHolderIsEvictedAndClosed() {
    MemoryAccount.Holder first = account.open(NONE);
    assertThat(first.tryAdd(90)).isTrue();
    assertThat(account.open(NONE).tryAdd(50)).isTrue();
    first.close();
    first.close();
    assertThat(account.heldBytes()).isEqualTo(50);
  }

  @Test
  void shouldKeepFurtherBytesWhenHolderWasCleared() {
    MemoryAccount.Holder holder = account.open(NONE);
    assertThat(holder.tryAdd(90)).isTrue();
    holder.clear();
    assertThat(account.heldBytes()).isZero();
    assertThat(holder.tryAdd(95)).isTrue();
  }

  @Test
  void shouldNeverExceedLimitAndServeSmallHoldersWhenLargeOnesGrowWithoutEnd() {
    SplittableRandom random = new SplittableRandom(20261205);
    MemoryAccount large = MemoryAccount.of(10_000, Runnable::run);
    List<MemoryAccount.Holder> endless = new ArrayList<>();
    int refused = 0;
    for (int round = 0; round < 20_000; round++) {
      if (endless.size() < 50) {
        endless.add(large.open(NONE));
      }
      int index = random.nextInt(endless.size());
      if (!endless.get(index).tryAdd(random.nextInt(100))) {
        endless.get(index).close();
        endless.remove(index);
      }
      MemoryAccount.Holder small = large.open(NONE);
      refused += small.tryAdd(5) ? 0 : 1;
      small.close();
      assertThat(large.heldBytes()).isLessThanOrEqualTo(10_000);
    }
    endless.forEach(MemoryAccount.Holder::close);
    assertThat(refused).isZero();
    assertThat(large.heldBytes()).isZero();
  }

  @Test
  void shouldRejectLimitThatIsNotPositive() {
    assertThatThrownBy(() -> MemoryAccount.of(0, Runnable::run))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
