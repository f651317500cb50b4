package org.snipewick.standins.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.Map;

/** Responses of the stand-ins. */
public final class Responses {
  /** Reads and writes JSON. */
  public static final ObjectMapper JSON =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, true);

  private static final String JSON_TYPE = "application/json";

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
        .withHeader(HttpHeaders.CONTENT_TYPE, JSON_TYPE)
        .withBody(toJson(value).getBytes(UTF_8));
  }

  /**
   * Returns a response that tells an error.
   *
   * @param status status code
   * @param detail what is wrong
   * @return response
   */
  public static HttpResponse error(int status, String detail) {
    return json(status, Map.of("error", Map.of("message", detail, "code", status)));
  }

  /**
   * Returns the refusal of a call before it ran.
   *
   * @param detail why
   * @return response with status 503
   */
  public static HttpResponse refused(String detail) {
    return error(503, detail).withHeader(HttpHeaders.of("X-Not-Run"), "true");
  }

  /**
   * Returns the answer to a call of an unknown path.
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
   */
  public static String toJson(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new IllegalArgumentException("Not representable as JSON", failure);
    }
  }
}
