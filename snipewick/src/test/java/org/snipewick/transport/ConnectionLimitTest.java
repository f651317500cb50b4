package org.snipewick.transport;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a limit of connections that leaves no descriptors or heap for their requests. */
class ConnectionLimitTest {

  @ParameterizedTest
  @CsvSource({
    // descriptors, heap bytes, connections
    "160, 50331648, 80",
    "1024, 167772160, 512",
    "20000, 167772160, 2560",
    "20000, 50331648, 768",
    "1, 50331648, 1",
  })
  void shouldLeaveHalfOfDescriptorsAndThreeQuartersOfHeap(
      long descriptors, long heapBytes, int connections) {
    assertThat(ConnectionLimit.of(descriptors, heapBytes).maxConnections()).isEqualTo(connections);
  }
}
