package org.snipewick.admin;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncHttpServer;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;

/** HTTP server of the administrative API. Runs on an event loop and daemon thread of its own. */
public final class AdminServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

  private final Eventloop eventloop = Eventloop.create();
  private final Operators operators;
  private final EventLog log;
  private final AdminConnections connections =
      new AdminConnections(eventloop, AdminServer::malformedRequestProblem);
  private final AsyncHttpServer server;
  private final InetSocketAddress address;

  private AdminServer(
      InetSocketAddress address, Operators operators, List<AdminRoute> routes, EventLog log) {
    this.operators = requireNonNull(operators, "operators");
    this.log = requireNonNull(log, "log");
    this.address = requireNonNull(address, "address");
    this.server =
        AsyncHttpServer.create(eventloop, servlet(routes))
            .withMaxBodySize(MAX_BODY_BYTES)
            .withHttpErrorFormatter(thrown -> toHttpResponse(malformedRequestProblem(thrown)))
            .withInspector(connections);
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, "admin");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Starts a server.
   *
   * @param bind address to listen on; port 0 selects a free port
   * @param operators operators that may use the routes for operators
   * @param routes routes that are served
   * @param log event log, which receives internal errors
   * @return running server
   * @throws FailureException of {@link FailureType#SETTINGS_INVALID} if the address cannot be bound
   */
  public static AdminServer listen(
      InetSocketAddress bind, Operators operators, List<AdminRoute> routes, EventLog log) {
    InetSocketAddress address = new InetSocketAddress(bind.getAddress(), choosePort(bind));
    AdminServer admin = new AdminServer(address, operators, routes, log);
    try {
      admin.eventloop.submit(() -> admin.connections.listen(admin.server, address)).join();
      return admin;
    } catch (CompletionException failure) {
      admin.close();
      throw cannotListen(address, failure.getCause());
    }
  }

  /**
   * Returns the port that the server listens on.
   *
   * @return TCP port
   */
  public int port() {
    return address.getPort();
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    eventloop.execute(
        () -> {
          connections.close();
          eventloop.keepAlive(false);
        });
  }

  private AsyncServlet servlet(List<AdminRoute> routes) {
    RoutingServlet servlet = RoutingServlet.create();
    for (AdminRoute route : routes) {
      HttpMethod method = HttpMethod.valueOf(route.method());
      servlet.map(method, route.path(), request -> serve(route, request));
      if (method == HttpMethod.GET) {
        servlet.map(HttpMethod.HEAD, route.path(), request -> serve(route, request));
      }
    }
    servlet.map(
        "/*",
        request ->
            toHttpResponse(
                problem(
                    FailureType.NOT_FOUND,
                    "no route for method " + request.getMethod() + " and this path")));
    return request -> withoutBodyIfHead(request, servlet.serveAsync(request));
  }

  private static Promise<HttpResponse> withoutBodyIfHead(
      HttpRequest request, Promise<HttpResponse> response) {
    return request.getMethod() == HttpMethod.HEAD
        ? response.map(full -> full.withBody(ByteBuf.empty()))
        : response;
  }

  private Promise<HttpResponse> serve(AdminRoute route, HttpRequest request) {
    Optional<String> operator =
        operators.authenticate(request.getHeader(HttpHeaders.AUTHORIZATION));
    if (route.access() == AdminRoute.Access.OPERATORS && operator.isEmpty()) {
      return Promise.of(
          toHttpResponse(problem(FailureType.UNAUTHENTICATED, "an operator's token is required")));
    }
    Map<String, String> parameters = new HashMap<>(request.getQueryParameters());
    parameters.putAll(request.getPathParameters());
    Optional<String> ifMatch = Optional.ofNullable(request.getHeader(HttpHeaders.IF_MATCH));
    return request
        .loadBody(MAX_BODY_BYTES)
        .then(
            body -> {
              byte[] bytes = body.getArray();
              return handle(
                  route, new AdminRequest(operator.orElse(""), parameters, ifMatch, bytes));
            });
  }

  private Promise<HttpResponse> handle(AdminRoute route, AdminRequest request) {
    CompletableFuture<AdminResponse> response;
    try {
      response = route.handle(request);
    } catch (RuntimeException thrown) {
      response = CompletableFuture.failedFuture(thrown);
    }
    return Promise.ofFuture(response.exceptionally(this::toProblem))
        .map(AdminServer::toHttpResponse);
  }

  private AdminResponse toProblem(Throwable thrown) {
    Failure failure = FailureException.unwrap(thrown);
    if (failure.type() == FailureType.INTERNAL) {
      log.record(EventType.INTERNAL_ERROR, "admin", Map.of("detail", failure.detail()));
    }
    return AdminResponse.problem(failure, Map.of());
  }

  /** Recognizes an exceeded limit by the message of the HTTP server's exception. */
  private static AdminResponse malformedRequestProblem(Exception thrown) {
    String message = String.valueOf(thrown.getMessage());
    boolean tooLarge = message.contains("size") || message.contains("Too many");
    return problem(
        tooLarge ? FailureType.REQUEST_TOO_LARGE : FailureType.MALFORMED_REQUEST, message);
  }

  private static AdminResponse problem(FailureType type, String detail) {
    return AdminResponse.problem(Failure.notRun(type, detail), Map.of());
  }

  private static HttpResponse toHttpResponse(AdminResponse adminResponse) {
    HttpResponse response = HttpResponse.ofCode(adminResponse.status());
    adminResponse
        .headers()
        .forEach((name, value) -> response.addHeader(HttpHeaders.of(name), value));
    return response.withBody(ByteBuf.wrapForReading(adminResponse.bodyBytes()));
  }

  /** Returns the port of an address, or a free port if it is 0. */
  private static int choosePort(InetSocketAddress bind) {
    if (bind.getPort() != 0) {
      return bind.getPort();
    }
    try (ServerSocket socket = new ServerSocket(0, 1, bind.getAddress())) {
      return socket.getLocalPort();
    } catch (IOException cause) {
      throw cannotListen(bind, cause);
    }
  }

  private static FailureException cannotListen(InetSocketAddress address, Throwable cause) {
    String detail = "cannot listen on " + address + ": " + cause.getMessage();
    return Failure.notRun(FailureType.SETTINGS_INVALID, detail).toException();
  }
}
