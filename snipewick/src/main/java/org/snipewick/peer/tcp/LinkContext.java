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
 * What all connections of a network share.
 *
 * @param codec maps frames to bytes
 * @param timer clock
 * @param log event log
 * @param random source of jitter, used by the event loop only
 * @param limits bounds of each connection
 * @param traffic counters over all connections
 */
record LinkContext(
    PeerCodec codec,
    TimerService timer,
    EventLog log,
    RandomGenerator random,
    FrameChannel.Limits limits,
    FrameChannel.Traffic traffic) {
  static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  LinkContext {
    requireNonNull(codec, "codec");
    requireNonNull(timer, "timer");
    requireNonNull(log, "log");
    requireNonNull(random, "random");
    requireNonNull(limits, "limits");
    requireNonNull(traffic, "traffic");
  }

  FrameChannel channel(AsyncTcpSocket socket) {
    return new FrameChannel(socket, codec, limits, traffic);
  }

  Outgoing outgoing(Frame frame) {
    return Outgoing.send(codec.encode(frame));
  }

  SocketSettings socketSettings() {
    return SocketSettings.create().withTcpNoDelay(true);
  }

  void failed(InstanceId peer, String detail) {
    log.record(EventType.PEER_FAILED, peer.value(), Map.of("detail", String.valueOf(detail)));
  }
}
