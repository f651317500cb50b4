package org.snipewick.peer.tcp;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import org.junit.jupiter.api.Test;

class FrameChannelTest {

  @Test
  void shouldReturnClassNameWhenExceptionHasNoMessage() {
    assertThat(FrameChannel.messageOf(new ClosedChannelException()))
        .isEqualTo("java.nio.channels.ClosedChannelException");
    assertThat(FrameChannel.messageOf(new IOException("Broken pipe"))).isEqualTo("Broken pipe");
  }
}
