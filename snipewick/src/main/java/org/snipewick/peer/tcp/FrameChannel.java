package org.snipewick.peer.tcp;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.exception.MalformedDataException;
import io.activej.csp.ChannelConsumer;
import io.activej.csp.ChannelSupplier;
import io.activej.csp.binary.BinaryChannelSupplier;
import io.activej.csp.binary.ByteBufsDecoder;
import io.activej.net.socket.tcp.AsyncTcpSocket;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.snipewick.failure.FailureException;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerCodec;

/** Frames over one socket, with a bounded queue of what is to be written; event loop only. */
final class FrameChannel {
  private static final int LENGTH_BYTES = Integer.BYTES;
  private static final int BATCH_BYTES = 64 * 1024;

  private final AsyncTcpSocket socket;
  private final PeerCodec codec;
  private final Limits limits;
  private final Traffic traffic;
  private final Deque<Outgoing> queue = new ArrayDeque<>();
  private long queuedBytes;
  private boolean writing;

  FrameChannel(AsyncTcpSocket socket, PeerCodec codec, Limits limits, Traffic traffic) {
    this.socket = requireNonNull(socket, "socket");
    this.codec = requireNonNull(codec, "codec");
    this.limits = requireNonNull(limits, "limits");
    this.traffic = requireNonNull(traffic, "traffic");
  }

  /** Reads frames until the connection ends; then calls back once with the cause. */
  void read(Consumer<Frame> onFrame, Consumer<Exception> onEnd) {
    BinaryChannelSupplier.of(ChannelSupplier.ofSocket(socket))
        .decodeStream(ByteBufsDecoder.ofIntSizePrefixedBytes(limits.maxFrameBytes()))
        .streamTo(ChannelConsumer.ofConsumer(buffer -> accept(buffer, onFrame)))
        .whenComplete(
            (nothing, failure) -> {
              socket.close();
              onEnd.accept(failure);
            });
  }

  /** Says why a connection ended, also where the exception has no message. */
  static String causeOf(Exception failure) {
    return failure.getMessage() == null ? failure.toString() : failure.getMessage();
  }

  /** Queues a frame; false if the queue is full and the frame was not taken. */
  boolean offer(Outgoing frame) {
    if (queuedBytes + frame.bytes().length > limits.maxQueuedBytes()) {
      return false;
    }
    queue.add(frame);
    queuedBytes += frame.bytes().length;
    flush();
    return true;
  }

  /** Removes and returns what has not been taken up for writing. */
  List<Outgoing> drain() {
    List<Outgoing> drained = new ArrayList<>(queue);
    queue.clear();
    queuedBytes = 0;
    return drained;
  }

  void close() {
    socket.close();
  }

  private void accept(ByteBuf buffer, Consumer<Frame> onFrame) throws MalformedDataException {
    try {
      onFrame.accept(decode(buffer));
    } catch (FailureException malformed) {
      throw new MalformedDataException(malformed.failure().detail());
    }
  }

  private Frame decode(ByteBuf buffer) {
    byte[] bytes = buffer.asArray();
    traffic.received().add(LENGTH_BYTES + bytes.length);
    return codec.decode(bytes);
  }

  private void flush() {
    if (writing || queue.isEmpty() || socket.isClosed()) {
      return;
    }
    byte[] batch = nextBatch();
    if (batch.length == 0) {
      return;
    }
    writing = true;
    traffic.sent().add(batch.length);
    socket
        .write(ByteBuf.wrapForReading(batch))
        .whenComplete(
            (nothing, failure) -> {
              writing = false;
              if (failure == null) {
                flush();
              }
            });
  }

  private byte[] nextBatch() {
    List<Outgoing> taken = new ArrayList<>();
    int size = 0;
    while (!queue.isEmpty() && size < BATCH_BYTES) {
      Outgoing frame = queue.remove();
      queuedBytes -= frame.bytes().length;
      if (frame.startWriting()) {
        taken.add(frame);
        size += LENGTH_BYTES + frame.bytes().length;
      }
    }
    ByteBuffer batch = ByteBuffer.allocate(size);
    taken.forEach(frame -> batch.putInt(frame.bytes().length).put(frame.bytes()));
    return batch.array();
  }

  /**
   * Bounds on what a peer can make this process hold.
   *
   * @param maxFrameBytes largest frame, in bytes
   * @param maxQueuedBytes most bytes that wait to be written to one connection
   */
  record Limits(int maxFrameBytes, long maxQueuedBytes) {}

  /**
   * Counters of bytes over all connections, frame lengths included.
   *
   * @param sent bytes given to sockets
   * @param received bytes of frames received
   */
  record Traffic(LongAdder sent, LongAdder received) {

    static Traffic create() {
      return new Traffic(new LongAdder(), new LongAdder());
    }
  }
}
