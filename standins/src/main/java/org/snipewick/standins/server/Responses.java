package org.snipewick.standins.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.Map;

/** Builds the responses of the stand-ins. */
public final class Responses {
  /** Mapper that reads and writes JSON; rejects unknown properties. */
  public static final ObjectMapper JSON =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, true);

  private static final String JSON_CONTENT_TYPE = "application/json";

  private Responses() {}

  /**
   * Returns a response with a JSON body.
   *
   * @param status status code
   * @param value content, may be null
   * @return response
   */
  public static HttpResponse json(int status, Object value) {
    return HttpResponse.ofCode(status)
        .withHeader(HttpHeaders.CONTENT_TYPE, JSON_CONTENT_TYPE)
        .withBody(toJson(value).getBytes(UTF_8));
  }

  /**
   * Returns an error response.
   *
   * @param status status code
   * @param detail error message
   * @return response
   */
  public static HttpResponse error(int status, String detail) {
    return json(status, Map.of("error", Map.of("message", detail, "code", status)));
  }

  /**
   * Returns the response that rejects a call and marks it as not run.
   *
   * @param detail reason
   * @return response with status 503 and header {@code X-Not-Run}
   */
  public static HttpResponse refused(String detail) {
    return error(503, detail).withHeader(HttpHeaders.of("X-Not-Run"), "true");
  }

  /**
   * Returns the response to a call of an unknown path.
   *
   * @return promise of a response with status 404
   */
  public static Promise<HttpResponse> unknownPath() {
    return Promise.of(error(404, "unknown path"));
  }

  /**
   * Renders a value as JSON.
   *
   * @param value content, may be null
   * @return JSON text
   * @throws IllegalArgumentException if the value cannot be written as JSON
   */
  public static String toJson(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new IllegalArgumentException("Not representable as JSON", failure);
    }
  }
}
