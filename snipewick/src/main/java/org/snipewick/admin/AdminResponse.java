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
 * HTTP response of the administrative API.
 *
 * @param status HTTP status
 * @param headers headers by name; copied
 * @param body content in UTF-8
 */
public record AdminResponse(int status, Map<String, String> headers, String body) {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .registerModule(new Jdk8Module())
          .registerModule(new ParameterNamesModule());
  private static final String CONTENT_TYPE = "Content-Type";

  /** Checks the components and copies the headers. */
  public AdminResponse {
    headers = Map.copyOf(headers);
    requireNonNull(body, "body");
  }

  /**
   * Returns a response with a JSON body.
   *
   * @param value value that Jackson can serialize
   * @return response with status 200, or a problem document if the value cannot be serialized
   */
  public static AdminResponse json(Object value) {
    try {
      return new AdminResponse(
          200, Map.of(CONTENT_TYPE, "application/json"), MAPPER.writeValueAsString(value));
    } catch (JsonProcessingException defect) {
      return problem(Failure.unknown(FailureType.INTERNAL, defect.getOriginalMessage()), Map.of());
    }
  }

  /**
   * Returns a response with a plain text body.
   *
   * @param text content
   * @return response with status 200
   */
  public static AdminResponse text(String text) {
    return new AdminResponse(200, Map.of(CONTENT_TYPE, "text/plain; charset=utf-8"), text);
  }

  /**
   * Returns a response with a problem document.
   *
   * @param failure failure to report
   * @param extensions further members of the document by name
   * @return response with the status of the failure
   */
  public static AdminResponse problem(Failure failure, Map<String, ?> extensions) {
    Map<String, String> headers = new TreeMap<>();
    headers.put(CONTENT_TYPE, ProblemDocument.CONTENT_TYPE);
    failure
        .retryAfter()
        .ifPresent(
            delay -> headers.put("Retry-After", Long.toString((delay.toMillis() + 999) / 1000)));
    if (failure.type() == FailureType.UNAUTHENTICATED) {
      headers.put("WWW-Authenticate", "Bearer");
    }
    return new AdminResponse(
        failure.type().status(), headers, ProblemDocument.of(failure, extensions).toJson());
  }

  /**
   * Returns a copy of this response with another status.
   *
   * @param newStatus HTTP status
   * @return changed copy
   */
  public AdminResponse withStatus(int newStatus) {
    return new AdminResponse(newStatus, headers, body);
  }

  /**
   * Returns a copy of this response with a further header.
   *
   * @param name name of the header
   * @param value content of the header
   * @return changed copy
   */
  public AdminResponse withHeader(String name, String value) {
    Map<String, String> newHeaders = new TreeMap<>(headers);
    newHeaders.put(name, value);
    return new AdminResponse(status, newHeaders, body);
  }

  /** Returns this response as HTTP/1.1 bytes; the connection must be closed after them. */
  byte[] toHttp() {
    StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " \r\nConnection: close\r\n");
    headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    text.append("Content-Length: ").append(bodyBytes().length).append("\r\n\r\n").append(body);
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  byte[] bodyBytes() {
    return body.getBytes(StandardCharsets.UTF_8);
  }
}
