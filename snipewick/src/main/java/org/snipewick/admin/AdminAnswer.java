package org.snipewick.admin;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.ProblemDocument;

/**
 * Answer of the administration.
 *
 * @param status HTTP status
 * @param headers headers by name
 * @param body content in UTF-8
 */
public record AdminAnswer(int status, Map<String, String> headers, String body) {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .registerModule(new Jdk8Module())
          .registerModule(new ParameterNamesModule());
  private static final String CONTENT_TYPE = "Content-Type";

  /** Checks and copies the parts. */
  public AdminAnswer {
    headers = Map.copyOf(headers);
    requireNonNull(body, "body");
  }

  /**
   * Returns an answer in JSON.
   *
   * @param value what Jackson can map
   * @return answer with status 200
   */
  public static AdminAnswer json(Object value) {
    try {
      return new AdminAnswer(
          200, Map.of(CONTENT_TYPE, "application/json"), MAPPER.writeValueAsString(value));
    } catch (JsonProcessingException defect) {
      return problem(Failure.unknown(FailureType.INTERNAL, defect.getOriginalMessage()), Map.of());
    }
  }

  /**
   * Returns an answer in plain text.
   *
   * @param text content
   * @return answer with status 200
   */
  public static AdminAnswer text(String text) {
    return new AdminAnswer(200, Map.of(CONTENT_TYPE, "text/plain; charset=utf-8"), text);
  }

  /**
   * Returns a problem document.
   *
   * @param failure what went wrong
   * @param extensions further members
   * @return answer with the status of the failure
   */
  public static AdminAnswer problem(Failure failure, Map<String, ?> extensions) {
    Map<String, String> headers = new TreeMap<>();
    headers.put(CONTENT_TYPE, ProblemDocument.CONTENT_TYPE);
    failure
        .retryAfter()
        .ifPresent(
            delay -> headers.put("Retry-After", Long.toString((delay.toMillis() + 999) / 1000)));
    if (failure.type() == FailureType.UNAUTHENTICATED) {
      headers.put("WWW-Authenticate", "Bearer");
    }
    return new AdminAnswer(
        failure.type().status(), headers, ProblemDocument.of(failure, extensions).toJson());
  }

  /**
   * Returns this answer with another status.
   *
   * @param changed HTTP status
   * @return changed copy
   */
  public AdminAnswer withStatus(int changed) {
    return new AdminAnswer(changed, headers, body);
  }

  /**
   * Returns this answer with a further header.
   *
   * @param name name of the header
   * @param value content of the header
   * @return changed copy
   */
  public AdminAnswer withHeader(String name, String value) {
    Map<String, String> changed = new TreeMap<>(headers);
    changed.put(name, value);
    return new AdminAnswer(status, changed, body);
  }

  /** Renders a complete HTTP response, after which the connection must be closed. */
  byte[] toHttp() {
    StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " \r\nConnection: close\r\n");
    headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    text.append("Content-Length: ").append(bytes().length).append("\r\n\r\n").append(body);
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  byte[] bytes() {
    return body.getBytes(StandardCharsets.UTF_8);
  }
}
