package org.snipewick.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.activej.async.exception.AsyncCloseException;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.AbstractChannelSupplier;
import io.activej.csp.ChannelSupplier;
import io.activej.csp.ChannelSuppliers;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.time.VirtualTimerService;

class RelayStreamTest {
  private final List<Runnable> evictions = new ArrayList<>();
  private final MemoryAccount memory = MemoryAccount.of(100, evictions::add);
  private final List<Exception> broken = new ArrayList<>();
  private ChannelSupplier<ByteBuf> rest;
  private Promise<ByteBuf> read;

  /** The read of a socket does not complete after an error such as exhausted memory. */
  @Test
  void shouldEndReadWhenClosedAndSourceNeverCompletes() {
    runOnEventLoop(
        stream -> {
          stream.readFrom(ChannelSupplier.of(SettablePromise::new));
          read = stream.get();
          stream.closeEx(new AsyncCloseException("deadline"));
        });
    assertThat(read.isException()).isTrue();
  }

  @Test
  void shouldResumeElsewhereWhenEventHasLostItsMemory() {
    runOnEventLoop(
        stream -> {
          stream.readFrom(
              ChannelSuppliers.concat(
                  ChannelSupplier.of(bytes("x".repeat(40))), new PendingSource()));
          rest = ChannelSupplier.of(bytes("id: 1\n\n"));
          read = stream.get();
          memory.open(() -> {}).tryAdd(30);
          memory.open(() -> {}).tryAdd(35);
          evictions.forEach(Runnable::run);
        });
    assertThat(broken).hasSize(1);
    assertThat(read.getResult().asString(UTF_8)).isEqualTo("id: 1\n\n");
    assertThat(memory.heldBytes()).isEqualTo(65);
  }

  private void runOnEventLoop(Consumer<RelayStream> task) {
    Eventloop eventloop = Eventloop.create().withCurrentThread();
    eventloop.post(
        () ->
            task.accept(
                new RelayStream(
                    true, Optional.empty(), VirtualTimerService.of(0), memory, listener())));
    eventloop.run();
  }

  private RelayStream.Listener listener() {
    return new RelayStream.Listener() {
      @Override
      public void onComplete() {}

      @Override
      public void onBroken(Exception thrown) {
        broken.add(thrown);
      }

      @Override
      public Promise<ChannelSupplier<ByteBuf>> resume(Exception thrown) {
        return rest == null ? Promise.ofException(thrown) : Promise.of(rest);
      }

      @Override
      public void onClosed() {}
    };
  }

  private static ByteBuf bytes(String text) {
    return ByteBuf.wrapForReading(text.getBytes(UTF_8));
  }

  /** Source whose read completes only when it is closed. */
  private static final class PendingSource extends AbstractChannelSupplier<ByteBuf> {
    private final SettablePromise<ByteBuf> read = new SettablePromise<>();

    @Override
    protected Promise<ByteBuf> doGet() {
      return read;
    }

    @Override
    protected void onClosed(Exception thrown) {
      read.trySetException(thrown);
    }
  }
}
