package org.snipewick.admin;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** One method and path of the administration. */
public interface AdminRoute {

  /**
   * Returns the HTTP method.
   *
   * @return GET, PUT, POST or DELETE
   */
  String method();

  /**
   * Returns the path.
   *
   * @return path below the root; a segment that starts with a colon is a parameter
   */
  String path();

  /**
   * Returns who may use the route.
   *
   * @return access
   */
  Access access();

  /**
   * Handles a call.
   *
   * @param request call
   * @return answer; a failure becomes a problem document
   */
  CompletableFuture<AdminAnswer> handle(AdminRequest request);

  /**
   * Returns a route for operators.
   *
   * @param method HTTP method
   * @param path path
   * @param handler handles calls
   * @return route
   */
  static AdminRoute forOperators(
      String method, String path, Function<AdminRequest, CompletableFuture<AdminAnswer>> handler) {
    return new Handled(method, path, Access.OPERATORS, handler);
  }

  /**
   * Returns a route that needs no credentials and answers at once.
   *
   * @param method HTTP method
   * @param path path
   * @param handler handles calls
   * @return route
   */
  static AdminRoute forAll(
      String method, String path, Function<AdminRequest, AdminAnswer> handler) {
    return new Handled(
        method,
        path,
        Access.ALL,
        request -> CompletableFuture.completedFuture(handler.apply(request)));
  }

  /** Who may use a route. */
  enum Access {
    /** Anyone who reaches the address. */
    ALL,
    /** Operators with a token. */
    OPERATORS
  }

  /**
   * Route made of its parts.
   *
   * @param method HTTP method
   * @param path path
   * @param access who may use it
   * @param handler handles calls
   */
  record Handled(
      String method,
      String path,
      Access access,
      Function<AdminRequest, CompletableFuture<AdminAnswer>> handler)
      implements AdminRoute {

    /** Checks the parts. */
    public Handled {
      requireNonNull(method, "method");
      requireNonNull(path, "path");
      requireNonNull(access, "access");
      requireNonNull(handler, "handler");
    }

    @Override
    public CompletableFuture<AdminAnswer> handle(AdminRequest request) {
      return handler.apply(request);
    }
  }
}
