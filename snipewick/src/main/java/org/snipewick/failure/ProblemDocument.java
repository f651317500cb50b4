package org.snipewick.failure;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Problem document (RFC 9457) of a {@link Failure}. */
public final class ProblemDocument {
  /** Media type of a problem document. */
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
   * @param failure failure
   * @return document without extension members
   */
  public static ProblemDocument of(Failure failure) {
    return of(failure, Map.of());
  }

  /**
   * Returns the problem document of a failure with extension members.
   *
   * @param failure failure
   * @param extensions extension members by name; one with the name of a standard member is ignored
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
   * Returns the members of the document.
   *
   * @return copy of the values by name, in the order of output
   */
  public Map<String, Object> members() {
    return new LinkedHashMap<>(members);
  }

  /**
   * Returns the document as JSON.
   *
   * @return JSON text
   * @throws IllegalStateException if an extension member cannot be serialized
   */
  public String toJson() {
    try {
      return MAPPER.writeValueAsString(members);
    } catch (JsonProcessingException defect) {
      throw new IllegalStateException("problem document cannot be serialized as JSON", defect);
    }
  }

  /**
   * Returns the document as JSON in UTF-8.
   *
   * @return encoded JSON text
   * @throws IllegalStateException if an extension member cannot be serialized
   */
  public byte[] toBytes() {
    return toJson().getBytes(StandardCharsets.UTF_8);
  }
}
