package org.snipewick.standins.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.function.Supplier;

/** Behaviour of one kind of stand-in. All methods are called on its event loop. */
public interface StandIn {

  /**
   * Serves a call. The server applies the faults that all kinds of stand-ins have in common.
   *
   * @param call call to serve
   * @return response
   * @throws JsonProcessingException if the body is malformed
   */
  Promise<HttpResponse> serve(Call call) throws JsonProcessingException;

  /**
   * Serves a control call other than those that the server handles: faults, truth and stop.
   *
   * @param call call to serve
   * @return response
   * @throws JsonProcessingException if the body is malformed
   */
  Promise<HttpResponse> control(Call call) throws JsonProcessingException;

  /**
   * Returns the ground truth: what this stand-in has recorded of the calls that it served.
   *
   * @return content of {@code GET /control/truth}
   */
  Object truth();

  /** Creates a stand-in on its event loop. */
  @FunctionalInterface
  interface Factory {

    /**
     * Creates the stand-in.
     *
     * @param eventloop event loop that serves it
     * @param faults supplies the current faults
     * @return stand-in
     */
    StandIn create(Eventloop eventloop, Supplier<Faults> faults);
  }
}
