package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.Write;
import org.snipewick.store.access.Reply;
import org.snipewick.store.access.RowRange;
import org.snipewick.store.access.StoreCalls;
import org.snipewick.store.access.TransactionResult;
import org.snipewick.time.TimerService;
import org.snipewick.transport.EventloopTimerService;
import org.snipewick.transport.Exchange;
import org.snipewick.transport.HttpTransport;

/**
 * Client of the platform's store; may be called on any thread, answers on that of its event loop.
 */
final class StoreClient implements StoreCalls {
  private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
  private static final int OK = 200;
  private static final int FIRST_REDIRECTION = 300;
  private static final int CLIENT_ERROR = 400;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int CONDITION_FAILED = 412;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private final Executor loop;
  private final HttpTransport transport;
  private final TimerService timer;
  private final String address;
  private final Duration timeout;
  private final Runnable end;

  private StoreClient(
      Eventloop eventloop,
      Executor loop,
      HttpTransport transport,
      InetSocketAddress address,
      Duration timeout,
      Runnable end) {
    this.loop = requireNonNull(loop, "loop");
    this.transport = requireNonNull(transport, "transport");
    this.timeout = requireNonNull(timeout, "timeout");
    this.end = requireNonNull(end, "end");
    this.timer = EventloopTimerService.of(eventloop);
    this.address = "http://" + address.getHostString() + ":" + address.getPort();
  }

  /**
   * Creates a client on an event loop that runs already or will.
   *
   * @param eventloop event loop made for monotonic time
   * @param loop runs tasks on the event loop's thread; may run them at once if the client is used
   *     on that thread alone
   * @param transport HTTP client on that loop
   * @param address address of the store
   * @param timeout time until a call's whole answer, beyond what the store was asked to wait
   * @param end run on the event loop when the client is closed
   * @return client
   */
  static StoreClient of(
      Eventloop eventloop,
      Executor loop,
      HttpTransport transport,
      InetSocketAddress address,
      Duration timeout,
      Runnable end) {
    return new StoreClient(eventloop, loop, transport, address, timeout, end);
  }

  private record Answer(int status, byte[] body) {}

  /** Reads the answer of a call that was carried out. */
  @FunctionalInterface
  private interface Decoder<T> {
    T decode(Answer answer) throws IOException;
  }

  @Override
  public CompletableFuture<Reply<RowPage>> rows(RowRange range) {
    return get(StoreFormat.pathOfRows(range), timeout, answer -> StoreFormat.page(answer.body()));
  }

  @Override
  public CompletableFuture<Reply<RowChanges>> changes(String table, long version, Duration wait) {
    String path = StoreFormat.pathOfChanges(table, version, wait.toMillis());
    return get(
        path,
        wait.plus(timeout),
        answer ->
            answer.status() == GONE
                ? new RowChanges.Forgotten("history is no longer kept")
                : StoreFormat.changes(answer.body()),
        GONE);
  }

  @Override
  public CompletableFuture<Reply<TransactionResult>> transact(String table, List<Write> writes) {
    return post(
        StoreFormat.transaction(table, writes),
        answer ->
            answer.status() == CONDITION_FAILED
                ? StoreFormat.refused(answer.body())
                : StoreFormat.committed(answer.body()),
        CONDITION_FAILED);
  }

  @Override
  public CompletableFuture<Reply<Long>> put(String table, String key, byte[] value) {
    return post(
        StoreFormat.put(table, key, value), answer -> StoreFormat.version(answer.body()), OK);
  }

  @Override
  public CompletableFuture<Reply<Optional<byte[]>>> object(String name) {
    return get(
        StoreFormat.pathOfObject(name),
        timeout,
        answer -> answer.status() == NOT_FOUND ? Optional.empty() : Optional.of(answer.body()),
        NOT_FOUND);
  }

  @Override
  public CompletableFuture<Reply<String>> putObject(String name, byte[] content) {
    byte[] copy = content.clone();
    return call(
        () -> HttpRequest.put(address + StoreFormat.pathToPut(name)).withBody(copy),
        timeout,
        answer -> name,
        OK);
  }

  @Override
  public CompletableFuture<Reply<List<String>>> objectNames(String prefix) {
    return get(
        StoreFormat.pathOfNames(prefix), timeout, answer -> StoreFormat.names(answer.body()));
  }

  @Override
  public void close() {
    loop.execute(end);
  }

  private <T> CompletableFuture<Reply<T>> get(String path, Duration limit, Decoder<T> decoder) {
    return get(path, limit, decoder, OK);
  }

  private <T> CompletableFuture<Reply<T>> get(
      String path, Duration limit, Decoder<T> decoder, int expected) {
    return call(() -> HttpRequest.get(address + path), limit, decoder, expected);
  }

  private <T> CompletableFuture<Reply<T>> post(byte[] body, Decoder<T> decoder, int expected) {
    return call(
        () ->
            HttpRequest.post(address + StoreFormat.TRANSACTION)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(body),
        timeout,
        decoder,
        expected);
  }

  private <T> CompletableFuture<Reply<T>> call(
      Supplier<HttpRequest> request, Duration limit, Decoder<T> decoder, int expected) {
    CompletableFuture<Reply<T>> result = new CompletableFuture<>();
    loop.execute(() -> send(request.get(), limit, decoder, expected, result));
    return result;
  }

  private <T> void send(
      HttpRequest request,
      Duration limit,
      Decoder<T> decoder,
      int expected,
      CompletableFuture<Reply<T>> result) {
    Exchange exchange = Exchange.of();
    TimerService.Subscription giveUp =
        timer.after(
            limit,
            () -> {
              exchange.cancel();
              result.complete(unanswered(exchange, "store did not answer within " + limit));
            });
    transport
        .send(request, exchange)
        .then(StoreClient::load)
        .run(
            (answer, thrown) -> {
              giveUp.cancel();
              result.complete(
                  thrown == null
                      ? reply(answer, decoder, expected)
                      : unanswered(exchange, "call to the store failed: " + thrown));
            });
  }

  private static Promise<Answer> load(HttpResponse response) {
    int status = response.getCode();
    return response.loadBody(MAX_ANSWER_BYTES).map(body -> new Answer(status, body.getArray()));
  }

  private static <T> Reply<T> unanswered(Exchange exchange, String detail) {
    return exchange.mayHaveBeenSent() ? Reply.lost(detail) : Reply.notSent(detail);
  }

  private static <T> Reply<T> reply(Answer answer, Decoder<T> decoder, int expected) {
    int status = answer.status();
    if (status == expected || (status >= OK && status < FIRST_REDIRECTION)) {
      try {
        return new Reply.Answered<>(decoder.decode(answer));
      } catch (IOException malformed) {
        return Reply.malformed("malformed answer of the store: " + malformed.getMessage());
      }
    }
    boolean isClientError = status >= CLIENT_ERROR && status < SERVER_ERROR;
    return new Reply.Failed<>(
        "store answered with status " + status,
        isClientError || status == UNAVAILABLE,
        status == TOO_MANY_REQUESTS || status >= SERVER_ERROR,
        status < SERVER_ERROR);
  }
}
