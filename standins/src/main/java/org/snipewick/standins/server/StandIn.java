package org.snipewick.standins.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.function.Supplier;

/** Behaviour of one kind of stand-in; all calls come on its event loop. */
public interface StandIn {

  /**
   * Serves a call; faults that concern all kinds have been applied.
   *
   * @param call the call
   * @return response
   * @throws JsonProcessingException if the body is malformed
   */
  Promise<HttpResponse> serve(Call call) throws JsonProcessingException;

  /**
   * Serves a control call other than those on faults and truth.
   *
   * @param call the call
   * @return response
   * @throws JsonProcessingException if the body is malformed
   */
  Promise<HttpResponse> control(Call call) throws JsonProcessingException;

  /**
   * Tells what happened, as counted here.
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
     * @param faults the faults in force
     * @return stand-in
     */
    StandIn create(Eventloop eventloop, Supplier<Faults> faults);
  }
}
