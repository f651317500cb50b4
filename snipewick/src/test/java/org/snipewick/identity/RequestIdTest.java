package org.snipewick.identity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class RequestIdTest {

  @Test
  void shouldReturnSameIdentifierWhenTextIsParsed() {
    RequestId id = RequestId.of(InstanceId.of("wien-a.1"), 1_764_800_000_000L, 42);
    assertThat(RequestId.parse(id.toString())).isEqualTo(id);
  }

  @Test
  void shouldRejectTextWhenPartsAreMissing() {
    assertThatThrownBy(() -> RequestId.parse("wien-a"))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
