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

/**
 * Channel of frames over one socket. Outgoing frames wait in a bounded queue and are written in
 * batches. Used on the event loop only.
 */
final class FrameChannel {
  private static final int LENGTH_PREFIX_BYTES = Integer.BYTES;

  /** Size at which no further frame is added to a batch; its last frame may exceed it. */
  private static final int BATCH_THRESHOLD_BYTES = 64 * 1024;

  private final AsyncTcpSocket socket;
  private final PeerCodec codec;
  private final Limits limits;
  private final Traffic traffic;
  private final Deque<OutgoingFrame> queue = new ArrayDeque<>();
  private long queuedBytes;
  private boolean writing;

  FrameChannel(AsyncTcpSocket socket, PeerCodec codec, Limits limits, Traffic traffic) {
    this.socket = requireNonNull(socket, "socket");
    this.codec = requireNonNull(codec, "codec");
    this.limits = requireNonNull(limits, "limits");
    this.traffic = requireNonNull(traffic, "traffic");
  }

  /**
   * Reads frames until the connection ends, closes the socket and then calls {@code onEnd} once,
   * with the cause or with null if the peer closed the connection.
   */
  void read(Consumer<Frame> onFrame, Consumer<Exception> onEnd) {
    BinaryChannelSupplier.of(ChannelSupplier.ofSocket(socket))
        .decodeStream(ByteBufsDecoder.ofIntSizePrefixedBytes(limits.maxFrameBytes()))
        .streamTo(ChannelConsumer.ofConsumer(buffer -> receive(buffer, onFrame)))
        .whenComplete(
            (nothing, failure) -> {
              socket.close();
              onEnd.accept(failure);
            });
  }

  /** Returns the message of an exception, or its text if it has none. */
  static String messageOf(Exception failure) {
    return failure.getMessage() == null ? failure.toString() : failure.getMessage();
  }

  /** Queues a frame for writing. Returns false, without queueing it, if the queue is full. */
  boolean offer(OutgoingFrame frame) {
    if (queuedBytes + frame.bytes().length > limits.maxQueuedBytes()) {
      return false;
    }
    queue.add(frame);
    queuedBytes += frame.bytes().length;
    flush();
    return true;
  }

  /** Removes and returns the frames whose writing has not begun. */
  List<OutgoingFrame> removeUnwritten() {
    List<OutgoingFrame> removed = new ArrayList<>(queue);
    queue.clear();
    queuedBytes = 0;
    return removed;
  }

  /** Closes the socket. */
  void close() {
    socket.close();
  }

  private void receive(ByteBuf buffer, Consumer<Frame> onFrame) throws MalformedDataException {
    try {
      onFrame.accept(decode(buffer));
    } catch (FailureException malformed) {
      throw new MalformedDataException(malformed.failure().detail());
    }
  }

  private Frame decode(ByteBuf buffer) {
    byte[] bytes = buffer.asArray();
    traffic.receivedBytes().add(LENGTH_PREFIX_BYTES + bytes.length);
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
    traffic.sentBytes().add(batch.length);
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
    List<OutgoingFrame> frames = new ArrayList<>();
    int sizeBytes = 0;
    while (!queue.isEmpty() && sizeBytes < BATCH_THRESHOLD_BYTES) {
      OutgoingFrame frame = queue.remove();
      queuedBytes -= frame.bytes().length;
      if (frame.startWriting()) {
        frames.add(frame);
        sizeBytes += LENGTH_PREFIX_BYTES + frame.bytes().length;
      }
    }
    ByteBuffer batch = ByteBuffer.allocate(sizeBytes);
    frames.forEach(frame -> batch.putInt(frame.bytes().length).put(frame.bytes()));
    return batch.array();
  }

  /**
   * Memory limits of one connection.
   *
   * @param maxFrameBytes maximum size of a frame without its length prefix, in bytes
   * @param maxQueuedBytes maximum total size of the frames that wait to be written, in bytes
   */
  record Limits(int maxFrameBytes, long maxQueuedBytes) {}

  /**
   * Byte counters over all connections, length prefixes included.
   *
   * @param sentBytes bytes of frames passed to sockets
   * @param receivedBytes bytes of frames received
   */
  record Traffic(LongAdder sentBytes, LongAdder receivedBytes) {

    /** Returns counters at zero. */
    static Traffic create() {
      return new Traffic(new LongAdder(), new LongAdder());
    }
  }
}
