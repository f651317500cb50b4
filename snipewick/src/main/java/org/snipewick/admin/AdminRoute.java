package org.snipewick.admin;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Route of the administrative API: a method, a path and a handler. */
public interface AdminRoute {

  /**
   * Returns the HTTP method.
   *
   * @return GET, PUT, POST or DELETE; a route for GET also serves HEAD
   */
  String method();

  /**
   * Returns the path.
   *
   * @return absolute path; a segment that starts with a colon is a parameter
   */
  String path();

  /**
   * Returns who may use the route.
   *
   * @return access
   */
  Access access();

  /**
   * Handles a request.
   *
   * @param request request to this route
   * @return response; if it completes exceptionally or the method throws, a problem document is
   *     sent
   */
  CompletableFuture<AdminResponse> handle(AdminRequest request);

  /**
   * Returns a route for operators.
   *
   * @param method HTTP method
   * @param path absolute path; a segment that starts with a colon is a parameter
   * @param handler handles requests
   * @return route
   */
  static AdminRoute forOperators(
      String method,
      String path,
      Function<AdminRequest, CompletableFuture<AdminResponse>> handler) {
    return new HandlerRoute(method, path, Access.OPERATORS, handler);
  }

  /**
   * Returns a route that needs no credentials and whose handler returns the response directly.
   *
   * @param method HTTP method
   * @param path absolute path; a segment that starts with a colon is a parameter
   * @param handler handles requests
   * @return route
   */
  static AdminRoute forAll(
      String method, String path, Function<AdminRequest, AdminResponse> handler) {
    return new HandlerRoute(
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
   * Route that passes requests to a function.
   *
   * @param method HTTP method
   * @param path absolute path; a segment that starts with a colon is a parameter
   * @param access who may use the route
   * @param handler handles requests
   */
  record HandlerRoute(
      String method,
      String path,
      Access access,
      Function<AdminRequest, CompletableFuture<AdminResponse>> handler)
      implements AdminRoute {

    /** Checks the components. */
    public HandlerRoute {
      requireNonNull(method, "method");
      requireNonNull(path, "path");
      requireNonNull(access, "access");
      requireNonNull(handler, "handler");
    }

    @Override
    public CompletableFuture<AdminResponse> handle(AdminRequest request) {
      return handler.apply(request);
    }
  }
}
