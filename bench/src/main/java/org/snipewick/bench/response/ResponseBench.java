package org.snipewick.bench.response;

import static java.util.Objects.requireNonNull;

import com.sun.management.ThreadMXBean;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.snipewick.transport.EventloopTimerService;
import org.snipewick.transport.Exchange;
import org.snipewick.transport.HttpTransport;

/**
 * Measures requests per second, processor time and allocation of the HTTP client, for responses
 * with a length and in chunks. The client runs on one thread, against a server in this process.
 */
public final class ResponseBench {
  private static final int CONCURRENT_REQUESTS = 16;
  private static final int MAX_BODY_BYTES = 1_000_000;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final int seconds;
  private final PrintStream out;

  /**
   * Creates a measurement.
   *
   * @param seconds length of each measurement and of the warm-up before it, positive
   * @param out receives a row for each kind of response
   */
  public ResponseBench(int seconds, PrintStream out) {
    this.seconds = seconds;
    this.out = requireNonNull(out, "out");
  }

  /** Measures each kind of response, and prints the results. */
  public void run() {
    out.println("response  requests/s  processor us/request  bytes allocated/request");
    measure("length", ResponseServer.WITH_LENGTH);
    measure("chunks", ResponseServer.CHUNKED);
  }

  private void measure(String name, String response) {
    Eventloop eventloop = EventloopTimerService.monotonicEventloop();
    try (ResponseServer server = ResponseServer.start(response)) {
      Load load = new Load(eventloop, server.port());
      Thread thread = new Thread(eventloop, "client");
      eventloop.execute(load::begin);
      thread.start();
      sleep();
      final Sample start = Sample.take(thread, load);
      sleep();
      Sample end = Sample.take(thread, load);
      load.end();
      thread.join();
      print(name, start, end);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void sleep() throws InterruptedException {
    Thread.sleep(Duration.ofSeconds(seconds).toMillis());
  }

  private void print(String name, Sample start, Sample end) {
    double requests = end.requests - start.requests;
    out.printf(
        "%-8s %11.0f %21.1f %24.0f%n",
        name,
        requests * NANOS_PER_SECOND / (end.nanos - start.nanos),
        (end.processorNanos - start.processorNanos) / requests / NANOS_PER_MICRO,
        (end.allocatedBytes - start.allocatedBytes) / requests);
  }

  /** What the thread of the client has used so far. */
  private record Sample(long nanos, long requests, long processorNanos, long allocatedBytes) {

    static Sample take(Thread thread, Load load) {
      return new Sample(
          System.nanoTime(),
          load.requests(),
          THREADS.getThreadCpuTime(thread.getId()),
          THREADS.getThreadAllocatedBytes(thread.getId()));
    }
  }

  /** Sends the next request whenever a response is complete. */
  private static final class Load {
    private final Eventloop eventloop;
    private final HttpTransport transport;
    private final String url;
    private volatile long requests;
    private boolean hasEnded;

    Load(Eventloop eventloop, int port) {
      this.eventloop = eventloop;
      this.transport = HttpTransport.of(eventloop, CONNECT_TIMEOUT, MAX_BODY_BYTES);
      this.url = "http://127.0.0.1:" + port + "/";
    }

    long requests() {
      return requests;
    }

    void begin() {
      for (int request = 0; request < CONCURRENT_REQUESTS; request++) {
        send();
      }
    }

    void end() {
      CompletableFuture<Void> ended = eventloop.submit(() -> hasEnded = true);
      ended.join();
    }

    private void send() {
      transport
          .send(HttpRequest.get(url), Exchange.of())
          .then(response -> response.loadBody(MAX_BODY_BYTES))
          .run(
              (body, thrown) -> {
                if (thrown != null) {
                  throw new IllegalStateException("request failed", thrown);
                }
                requests = requests + 1;
                if (!hasEnded) {
                  send();
                }
              });
    }
  }
}
