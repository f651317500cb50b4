package org.snipewick.peer.tcp;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.net.SocketSettings;
import io.activej.net.socket.tcp.AsyncTcpSocket;
import java.time.Duration;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerCodec;
import org.snipewick.time.TimerService;

/**
 * Objects that all connections of a network share.
 *
 * @param codec encodes and decodes frames
 * @param timer monotonic clock and timers
 * @param log event log
 * @param random source of jitter, used on the event loop only
 * @param limits memory limits of each connection
 * @param traffic byte counters over all connections
 */
record ConnectionContext(
    PeerCodec codec,
    TimerService timer,
    EventLog log,
    RandomGenerator random,
    FrameChannel.Limits limits,
    FrameChannel.Traffic traffic) {
  static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  ConnectionContext {
    requireNonNull(codec, "codec");
    requireNonNull(timer, "timer");
    requireNonNull(log, "log");
    requireNonNull(random, "random");
    requireNonNull(limits, "limits");
    requireNonNull(traffic, "traffic");
  }

  /** Returns a channel for a socket. */
  FrameChannel channel(AsyncTcpSocket socket) {
    return new FrameChannel(socket, codec, limits, traffic);
  }

  /** Encodes a frame that expects no reply. */
  OutgoingFrame encode(Frame frame) {
    return OutgoingFrame.send(codec.encode(frame));
  }

  /** Returns the settings of outgoing sockets. */
  SocketSettings socketSettings() {
    return SocketSettings.create().withTcpNoDelay(true);
  }

  /** Logs that the connection to a peer failed. */
  void recordPeerFailure(InstanceId peer, String detail) {
    log.record(EventType.PEER_FAILED, peer.value(), Map.of("detail", String.valueOf(detail)));
  }
}
