package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeader;
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
import org.snipewick.store.EraTracker;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.Write;
import org.snipewick.store.access.RowRange;
import org.snipewick.store.access.StoreCalls;
import org.snipewick.store.access.StoreResult;
import org.snipewick.store.access.TransactionResult;
import org.snipewick.time.TimerService;
import org.snipewick.transport.EventloopTimerService;
import org.snipewick.transport.Exchange;
import org.snipewick.transport.HttpTransport;

/**
 * Client of the platform's store. May be called on any thread; futures complete on the thread of
 * its event loop.
 */
final class StoreClient implements StoreCalls {
  /** Maximum size of a response body; a call with a larger response fails. */
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  /** Number of the store's history, which rises each time the store returns from an older copy. */
  private static final HttpHeader ERA = HttpHeaders.of("Store-Era");

  private static final int OK = 200;
  private static final int FIRST_REDIRECTION = 300;
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Executor loopExecutor;
  private final HttpTransport transport;
  private final TimerService timer;
  private final String address;
  private final Duration timeout;
  private final EraTracker eras;
  private final Runnable onClose;

  private StoreClient(
      Eventloop eventloop,
      Executor loopExecutor,
      HttpTransport transport,
      InetSocketAddress address,
      Duration timeout,
      EraTracker eras,
      Runnable onClose) {
    this.loopExecutor = requireNonNull(loopExecutor, "loopExecutor");
    this.transport = requireNonNull(transport, "transport");
    this.timeout = requireNonNull(timeout, "timeout");
    this.eras = requireNonNull(eras, "eras");
    this.onClose = requireNonNull(onClose, "onClose");
    this.timer = EventloopTimerService.of(eventloop);
    this.address = "http://" + address.getHostString() + ":" + address.getPort();
  }

  /**
   * Creates a client on an event loop, which may be started later.
   *
   * @param eventloop event loop with a monotonic clock
   * @param loopExecutor runs tasks on the event loop's thread; may run them at once if the client
   *     is used on that thread alone
   * @param transport HTTP client on that loop
   * @param address address of the store
   * @param timeout maximum time until the response of a call is complete, in addition to the time
   *     for which the store may wait for changes
   * @param eras receives the era of each response; responses of an earlier era are dropped
   * @param onClose task that runs on the event loop when the client is closed
   * @return client
   */
  static StoreClient of(
      Eventloop eventloop,
      Executor loopExecutor,
      HttpTransport transport,
      InetSocketAddress address,
      Duration timeout,
      EraTracker eras,
      Runnable onClose) {
    return new StoreClient(eventloop, loopExecutor, transport, address, timeout, eras, onClose);
  }

  private record Response(int status, byte[] body, long era) {}

  /** Decodes a response whose status is 2xx or the additional status of the call. */
  @FunctionalInterface
  private interface Decoder<T> {
    T decode(Response response) throws IOException;
  }

  @Override
  public CompletableFuture<StoreResult<RowPage>> rows(RowRange range) {
    return get(
        StoreFormat.pathOfRows(range),
        timeout,
        response -> StoreFormat.page(response.body(), response.era()));
  }

  @Override
  public CompletableFuture<StoreResult<RowChanges>> changes(
      String table, long version, Duration maxWait) {
    String path = StoreFormat.pathOfChanges(table, version, maxWait.toMillis());
    return get(
        path,
        maxWait.plus(timeout),
        response ->
            response.status() == GONE
                ? new RowChanges.HistoryLost("store no longer keeps the changes since that version")
                : StoreFormat.changes(response.body(), response.era()),
        GONE);
  }

  @Override
  public CompletableFuture<StoreResult<TransactionResult>> transact(
      String table, List<Write> writes) {
    return post(
        StoreFormat.transaction(table, writes),
        response ->
            response.status() == PRECONDITION_FAILED
                ? StoreFormat.conflict(response.body(), response.era())
                : StoreFormat.committed(response.body(), response.era()),
        PRECONDITION_FAILED);
  }

  @Override
  public CompletableFuture<StoreResult<Long>> put(String table, String key, byte[] value) {
    return post(
        StoreFormat.put(table, key, value), response -> StoreFormat.version(response.body()), OK);
  }

  @Override
  public CompletableFuture<StoreResult<Optional<byte[]>>> object(String name) {
    return get(
        StoreFormat.pathOfObject(name),
        timeout,
        response ->
            response.status() == NOT_FOUND ? Optional.empty() : Optional.of(response.body()),
        NOT_FOUND);
  }

  @Override
  public CompletableFuture<StoreResult<String>> putObject(String name, byte[] content) {
    byte[] copy = content.clone();
    return call(
        () -> HttpRequest.put(address + StoreFormat.pathOfObjectWrite(name)).withBody(copy),
        timeout,
        response -> name,
        OK);
  }

  @Override
  public CompletableFuture<StoreResult<List<String>>> objectNames(String prefix) {
    return get(
        StoreFormat.pathOfObjectNames(prefix),
        timeout,
        response -> StoreFormat.objectNames(response.body()));
  }

  @Override
  public void close() {
    loopExecutor.execute(onClose);
  }

  private <T> CompletableFuture<StoreResult<T>> get(
      String path, Duration timeLimit, Decoder<T> decoder) {
    return get(path, timeLimit, decoder, OK);
  }

  private <T> CompletableFuture<StoreResult<T>> get(
      String path, Duration timeLimit, Decoder<T> decoder, int additionalStatus) {
    return call(() -> HttpRequest.get(address + path), timeLimit, decoder, additionalStatus);
  }

  private <T> CompletableFuture<StoreResult<T>> post(
      byte[] body, Decoder<T> decoder, int additionalStatus) {
    return call(
        () ->
            HttpRequest.post(address + StoreFormat.TRANSACTION_PATH)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(body),
        timeout,
        decoder,
        additionalStatus);
  }

  private <T> CompletableFuture<StoreResult<T>> call(
      Supplier<HttpRequest> request, Duration timeLimit, Decoder<T> decoder, int additionalStatus) {
    CompletableFuture<StoreResult<T>> result = new CompletableFuture<>();
    loopExecutor.execute(() -> send(request.get(), timeLimit, decoder, additionalStatus, result));
    return result;
  }

  private <T> void send(
      HttpRequest request,
      Duration timeLimit,
      Decoder<T> decoder,
      int additionalStatus,
      CompletableFuture<StoreResult<T>> result) {
    Exchange exchange = Exchange.of();
    TimerService.Subscription timeoutTimer =
        timer.after(
            timeLimit,
            () -> {
              exchange.cancel();
              result.complete(lostOrNotSent(exchange, "store did not respond within " + timeLimit));
            });
    transport
        .send(request, exchange)
        .then(this::readBody)
        .run(
            (response, thrown) -> {
              timeoutTimer.cancel();
              result.complete(
                  thrown == null
                      ? toStoreResult(response, decoder, additionalStatus)
                      : lostOrNotSent(exchange, "call to the store failed: " + thrown));
            });
  }

  private Promise<Response> readBody(HttpResponse response) {
    int status = response.getCode();
    long era = eras.decode(response.getHeader(ERA));
    return response
        .loadBody(MAX_RESPONSE_BYTES)
        .map(body -> new Response(status, body.getArray(), era));
  }

  private static <T> StoreResult<T> lostOrNotSent(Exchange exchange, String detail) {
    return exchange.mayHaveBeenSent() ? StoreResult.lost(detail) : StoreResult.notSent(detail);
  }

  private <T> StoreResult<T> toStoreResult(
      Response response, Decoder<T> decoder, int additionalStatus) {
    int status = response.status();
    boolean isOfCurrentEra = eras.observe(response.era());
    if (status == additionalStatus || (status >= OK && status < FIRST_REDIRECTION)) {
      // A failure holds no version; it means the same in each era, and may come without one.
      if (!isOfCurrentEra) {
        return StoreResult.lost(
            "response of era " + response.era() + " of the store came too late");
      }
      try {
        return new StoreResult.Succeeded<>(decoder.decode(response));
      } catch (IOException malformed) {
        return StoreResult.malformed("malformed response of the store: " + malformed.getMessage());
      }
    }
    boolean isClientError = status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR;
    return new StoreResult.Failed<>(
        "store responded with status " + status,
        isClientError || status == SERVICE_UNAVAILABLE,
        status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR,
        status < FIRST_SERVER_ERROR);
  }
}
