package org.snipewick.failure;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Renders a {@link Failure} as a problem document (RFC 9457). */
public final class ProblemDocument {
  /** Media type of the rendered form. */
  public static final String CONTENT_TYPE = "application/problem+json";

  private static final String TYPE_PREFIX = "urn:snipewick:problem:";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Map<String, Object> members;

  private ProblemDocument(Map<String, Object> members) {
    this.members = members;
  }

  /**
   * Returns the problem document of a failure.
   *
   * @param failure what went wrong
   * @return document without further members
   */
  public static ProblemDocument of(Failure failure) {
    return of(failure, Map.of());
  }

  /**
   * Returns the problem document of a failure with further members.
   *
   * @param failure what went wrong
   * @param extensions further members by name; they do not replace the standard ones
   * @return document
   */
  public static ProblemDocument of(Failure failure, Map<String, ?> extensions) {
    requireNonNull(failure, "failure");
    Map<String, Object> members = new LinkedHashMap<>();
    members.put("type", TYPE_PREFIX + failure.type().number());
    members.put("title", failure.type().title());
    members.put("status", failure.type().status());
    members.put("detail", failure.detail());
    members.put("outcome", failure.outcome().text());
    failure.retryAfter().ifPresent(delay -> members.put("retryAfterMillis", delay.toMillis()));
    extensions.forEach(members::putIfAbsent);
    return new ProblemDocument(members);
  }

  /**
   * Returns the members.
   *
   * @return values by name, in order
   */
  public Map<String, Object> members() {
    return new LinkedHashMap<>(members);
  }

  /**
   * Renders the document.
   *
   * @return JSON
   */
  public String toJson() {
    try {
      return MAPPER.writeValueAsString(members);
    } catch (JsonProcessingException defect) {
      throw new IllegalStateException("problem document cannot be rendered", defect);
    }
  }

  /**
   * Renders the document for the wire.
   *
   * @return JSON in UTF-8
   */
  public byte[] toBytes() {
    return toJson().getBytes(StandardCharsets.UTF_8);
  }
}
